#include <string.h>

#include "base/memory.h"
#include "control/control_internal.h"

struct view_builder {
	GPtrArray *changes;
	uint64_t index;
};

/*
 * Adds an empty change at the view's index; the builder owns it.
 */
static Wire__Change *
new_change(struct view_builder *builder)
{
	Wire__Change *change = mem_alloc(sizeof(*change));

	wire__change__init(change);
	change->index = builder->index;
	g_ptr_array_add(builder->changes, change);
	return change;
}

/*
 * Adds a section with copies of its strings.
 */
static void
add_section(struct view_builder *builder, const struct policy_section *from)
{
	Wire__Change *change = new_change(builder);
	Wire__Section *section = mem_alloc(sizeof(*section));

	wire__section__init(section);
	section->name = str_dup(from->name);
	section->revision = from->revision;
	section->text.data = (uint8_t *)str_dup(from->text);
	section->text.len = from->text.len;
	section->digest.data = mem_alloc(POLICY_DIGEST_BYTES);
	memcpy(section->digest.data, from->digest, POLICY_DIGEST_BYTES);
	section->digest.len = POLICY_DIGEST_BYTES;
	change->body_case = WIRE__CHANGE__BODY_SECTION;
	change->section = section;
}

/*
 * Returns a target as a message with copies of its strings; freed with
 * wire__target__free_unpacked().
 */
Wire__Target *
control_target_message(const struct registry_target *from)
{
	Wire__Target *target = mem_alloc(sizeof(*target));

	wire__target__init(target);
	target->id = str_dup(from->id);
	target->service = str_dup(from->service);
	target->address = str_dup(from->address);
	target->failure_domain = str_dup(from->failure_domain);
	target->holder = str_dup(from->holder);
	target->slots = from->slots;
	target->connections = from->connections;
	target->state = (Wire__TargetState)from->state;
	target->incarnation = from->incarnation;
	target->sequence = from->sequence;
	return target;
}

/*
 * Visitor of the registry: adds a target; ctx is the builder.
 */
static void
add_target(void *ctx, const struct registry_target *from)
{
	Wire__Change *change = new_change(ctx);

	change->body_case = WIRE__CHANGE__BODY_TARGET;
	change->target = control_target_message(from);
}

/*
 * Frees a change; for GLib's array.
 */
static void
free_change(void *value)
{
	wire__change__free_unpacked(value, NULL);
}

/*
 * Sends all sections and targets as one batch that replaces the entry's view.
 */
static void
send_full_view(struct control *control, const struct transport_peer *peer)
{
	struct policy *policy = document_policy(control->machine.document);
	Wire__Changes batch = WIRE__CHANGES__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct view_builder builder = {
	    .changes = g_ptr_array_new_with_free_func(free_change),
	    .index = view_log_last_index(control->machine.view),
	};

	for (uint32_t i = 0; i < policy->section_count; i++)
		add_section(&builder, policy->sections[i]);
	registry_for_each(control->machine.registry, add_target, &builder);
	batch.term = control->info.term;
	batch.reset = true;
	batch.to_index = builder.index;
	batch.n_changes = builder.changes->len;
	batch.changes = (Wire__Change **)builder.changes->pdata;
	envelope.body_case = WIRE__ENVELOPE__BODY_CHANGES;
	envelope.changes = &batch;
	control_send(control, peer, &envelope);
	g_ptr_array_free(builder.changes, TRUE);
	policy_put(policy);
}

/*
 * Sends an entry the changes after an index, or the full view if they are no
 * longer retained.
 */
void
control_view_send(
    struct control *control, const struct transport_peer *peer, uint64_t after)
{
	Wire__Changes batch = WIRE__CHANGES__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (after == 0 ||
	    !view_log_changes_since(control->machine.view, after, &batch)) {
		send_full_view(control, peer);
		return;
	}
	batch.term = control->info.term;
	envelope.body_case = WIRE__ENVELOPE__BODY_CHANGES;
	envelope.changes = &batch;
	if (batch.n_changes > 0)
		control_send(control, peer, &envelope);
	view_log_batch_free(&batch);
}

/*
 * Sends new changes to every connected entry with a valid lease that lacks
 * them.
 */
void
control_view_push(struct control *control, uint64_t now_us)
{
	uint64_t last = view_log_last_index(control->machine.view);
	unsigned count = entry_table_count(control->entries);

	if (last == control->view_sent)
		return;
	for (unsigned i = 0; i < count; i++) {
		const struct entry_record *entry =
		    entry_table_at(control->entries, i);

		if (entry->connected && entry_record_live(entry, now_us) &&
		    entry->applied_index < last)
			control_view_send(
			    control, &entry->peer, entry->applied_index);
	}
	control->view_sent = last;
}
