#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/control_internal.h"

static const uint64_t claim_holders_interval_us = US_PER_S;

/*
 * Proposes a command of a leader task.  On failure, as after a loss of
 * leadership, the command is dropped and left to the next leader.
 */
static void
propose_leader_task(struct control *control, Wire__Command *command)
{
	if (control_propose(control, command, NULL) != STATUS_OK)
		log_debug(
		    "duty_dropped", "instance=%s", control->settings.instance);
}

/*
 * Proposes that an incarnation of an entry, and all before it, are lost, so
 * that their open claims are settled.
 */
void
control_propose_entry_lost(
    struct control *control, const char *name, uint64_t incarnation)
{
	Wire__EntryLost lost = WIRE__ENTRY_LOST__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;

	lost.entry = (char *)name;
	lost.incarnation = incarnation;
	command.body_case = WIRE__COMMAND__BODY_ENTRY_LOST;
	command.entry_lost = &lost;
	propose_leader_task(control, &command);
}

struct expect_context {
	struct control *control;
	uint64_t now_us;
};

/*
 * Visitor of the registry: adds the entry that holds a target to the table of
 * entries, so that it must send a heartbeat or be declared lost.
 */
static void
expect_holder(void *ctx, const struct registry_target *target)
{
	struct expect_context *context = ctx;

	entry_table_expect(
	    context->control->entries, target->holder, 0, context->now_us);
}

/* An earlier incarnation of a running entry that still holds claims. */
struct stale_holder {
	char entry[ENTRY_NAME_BYTES];
	uint64_t incarnation;
};

struct holder_check {
	struct control *control;
	uint64_t now_us;
	GArray *stale; /* of struct stale_holder */
};

/*
 * Visitor of the claim ledger: checks an entry that holds open claims.  An
 * unknown entry is added to the table; a superseded incarnation is collected as
 * stale.
 */
static void
check_holder(
    void *ctx, struct str name, uint64_t incarnation, uint64_t open ATTR_UNUSED)
{
	struct holder_check *check = ctx;
	const struct entry_record *entry =
	    entry_table_find(check->control->entries, name);
	struct stale_holder stale = {.incarnation = incarnation};

	if (entry == NULL) {
		entry_table_expect(
		    check->control->entries, name, incarnation, check->now_us);
		return;
	}
	if (!entry->connected || incarnation >= entry->reported.incarnation)
		return;
	memcpy(stale.entry, entry->name, sizeof(stale.entry));
	g_array_append_val(check->stale, stale);
}

/*
 * Checks the entries that hold claims.  A claim may be granted to an entry
 * after it was declared lost, if its proposal was already in flight.  Holders
 * that are not connected get time to report and are then declared lost,
 * possibly again.
 */
static void
check_claim_holders(struct control *control, uint64_t now_us)
{
	struct holder_check check = {
	    .control = control,
	    .now_us = now_us,
	    .stale = g_array_new(FALSE, FALSE, sizeof(struct stale_holder)),
	};

	claim_ledger_for_each_holder(
	    control->machine.ledger, check_holder, &check);
	for (unsigned i = 0; i < check.stale->len; i++) {
		const struct stale_holder *stale =
		    &g_array_index(check.stale, struct stale_holder, i);

		control_propose_entry_lost(
		    control, stale->entry, stale->incarnation);
	}
	g_array_free(check.stale, TRUE);
}

/*
 * Starts the tasks of a new leader.  Only the entries that hold targets or
 * claims are known at first; they must send a heartbeat in time or are declared
 * lost.
 */
void
control_leader_tasks_start(struct control *control, uint64_t now_us)
{
	struct expect_context context = {.control = control, .now_us = now_us};
	struct share_params shares;

	control_share_params(control, &shares);
	/* Terms start at 1, so the leader of term 1 is the first. */
	entry_table_reset(
	    control->entries, &shares, control->info.term == 1, now_us);
	registry_for_each(control->machine.registry, expect_holder, &context);
	check_claim_holders(control, now_us);
	control->view_sent = view_log_last_index(control->machine.view);
	control->leader_tasks_due_us = now_us;
}

struct held_targets {
	struct str holder;
	GPtrArray *ids; /* owned copies */
};

/*
 * Visitor of the registry: copies the id of a target that the entry holds,
 * since the registry must not change during the visit.
 */
static void
collect_target_id(void *ctx, const struct registry_target *target)
{
	struct held_targets *held = ctx;

	if (str_equal(target->holder, held->holder))
		g_ptr_array_add(held->ids, str_dup(target->id));
}

/*
 * Proposes the removal of all targets that a lost entry holds.  Targets that
 * have meanwhile announced themselves to another entry are kept, since the
 * command names the holder.
 */
static void
remove_targets_of(struct control *control, const char *entry)
{
	struct held_targets held = {
	    .holder = str_from(entry),
	    .ids = g_ptr_array_new_with_free_func(mem_free),
	};

	registry_for_each(control->machine.registry, collect_target_id, &held);
	for (unsigned i = 0; i < held.ids->len; i++) {
		Wire__TargetRemove removal = WIRE__TARGET_REMOVE__INIT;
		Wire__Command command = WIRE__COMMAND__INIT;

		removal.id = held.ids->pdata[i];
		removal.holder = (char *)entry;
		command.body_case = WIRE__COMMAND__BODY_TARGET_REMOVE;
		command.target_remove = &removal;
		propose_leader_task(control, &command);
	}
	g_ptr_array_free(held.ids, TRUE);
}

/*
 * Runs the leader tasks due at now_us, if the leader lease is valid: checks the
 * claims of lost entries, and declares lost each entry that has been silent too
 * long, with its targets.
 */
void
control_leader_tasks_run(struct control *control, uint64_t now_us)
{
	uint64_t lost_us = control_entry_lost_us(control);
	struct entry_record lost;

	if (!control_holds_leader_lease(control, now_us))
		return;
	if (now_us >= control->claim_holders_due_us) {
		control->claim_holders_due_us =
		    now_us + claim_holders_interval_us;
		check_claim_holders(control, now_us);
	}
	while (
	    entry_table_remove_lost(control->entries, now_us, lost_us, &lost)) {
		log_warn("entry_lost", "instance=%s entry=%s failure_domain=%s",
		    control->settings.instance, lost.name,
		    lost.reported.failure_domain);
		control_propose_entry_lost(control, lost.name,
		    lost.reported.incarnation != 0 ? lost.reported.incarnation
						   : UINT64_MAX);
		remove_targets_of(control, lost.name);
	}
}
