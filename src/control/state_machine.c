#include "control/state_machine.h"

#include <string.h>

#include "base/memory.h"
#include "control/view_log.h"

enum {
	SNAPSHOT_PARTS = 4,
	LENGTH_BYTES = 8
};

/*
 * Initializes an empty state machine.
 */
void
state_machine_init(struct state_machine *machine,
    state_machine_claim_ended *claim_ended, void *ctx)
{
	machine->document = document_new();
	machine->registry = registry_new();
	machine->ledger = claim_ledger_new();
	machine->view = view_log_new();
	machine->claim_ended = claim_ended;
	machine->ctx = ctx;
}

/*
 * Frees the state but not the struct itself.
 */
void
state_machine_destroy(struct state_machine *machine)
{
	document_free(machine->document);
	registry_free(machine->registry);
	claim_ledger_free(machine->ledger);
	view_log_free(machine->view);
}

/*
 * Returns a view of a message's bytes.
 */
static struct str
bytes_view(ProtobufCBinaryData data)
{
	return str_of((const char *)data.data, data.len);
}

/*
 * Sets the result's message to a copy of message.
 */
static void
set_message(Wire__Result *result, struct str message)
{
	mem_free(result->message);
	result->message = str_dup(message);
}

/*
 * Sets the result's status and, on an error, the message last set by
 * status_set().
 */
static void
set_status(Wire__Result *result, enum status status)
{
	result->status = (uint32_t)status;
	if (status != STATUS_OK)
		set_message(result, str_from(status_message()));
}

/*
 * Returns a result with STATUS_OK and no detail; freed with
 * wire__result__free_unpacked().
 */
static Wire__Result *
result_new(uint64_t index)
{
	Wire__Result *result = mem_alloc(sizeof(*result));

	wire__result__init(result);
	result->message = str_dup(str_of("", 0));
	result->index = index;
	return result;
}

/*
 * Applies an edit of a section.  A change of the document is added to the view
 * log; a resend of an accepted edit changes nothing and gets the revision of
 * the first one.
 */
static void
apply_edit(struct state_machine *machine, uint64_t index, uint64_t time_us,
    const Wire__EditSection *edit, Wire__Result *result)
{
	struct document_edit_result outcome = {0};
	struct document_edit values = {
	    .section = str_from(edit->section),
	    .edit_id = str_from(edit->edit_id),
	    .team = str_from(edit->team),
	    .author = str_from(edit->author),
	    .text = bytes_view(edit->text),
	    .base_revision = edit->base_revision,
	    .accepted_us = time_us,
	    .remove = edit->remove,
	};

	document_apply(machine->document, &values, index, &outcome);
	result->status = (uint32_t)outcome.status;
	set_message(result, str_buf_view(&outcome.message));
	result->detail_case = WIRE__RESULT__DETAIL_EDIT;
	result->edit = mem_alloc(sizeof(*result->edit));
	wire__edit_result__init(result->edit);
	result->edit->revision = outcome.revision;
	result->edit->resend = outcome.resend;
	if (outcome.status == STATUS_OK && !outcome.resend)
		view_log_add_section(machine->view, index, values.section,
		    outcome.revision, values.text, values.remove);
	str_buf_free(&outcome.message);
}

/*
 * Returns a claim's key, which borrows the strings.
 */
static struct claim_key
key_of(const char *tenant, const char *service, const char *key)
{
	return (struct claim_key){
	    .tenant = str_from(tenant),
	    .service = str_from(service),
	    .key = str_from(key),
	};
}

/*
 * Sets a claim's verdict and copies the stored answer, if there is one.
 */
static void
fill_claim_result(Wire__Result *result, enum claim_verdict verdict,
    const struct claim_answer *answer)
{
	Wire__ClaimResult *claim = mem_alloc(sizeof(*claim));

	wire__claim_result__init(claim);
	result->detail_case = WIRE__RESULT__DETAIL_CLAIM;
	result->claim = claim;
	claim->verdict = (Wire__ClaimVerdict)verdict;
	claim->content_type = str_dup(answer->content_type);
	claim->http_status = answer->http_status;
	if (answer->body.len > 0) {
		claim->answer.data = (uint8_t *)str_dup(answer->body);
		claim->answer.len = answer->body.len;
	}
}

/*
 * Opens a claim or returns the outcome of an existing one; STATUS_INVALID for a
 * digest of the wrong length.
 */
static void
apply_claim_open(struct state_machine *machine, uint64_t time_us,
    const Wire__ClaimOpen *open, Wire__Result *result)
{
	struct claim_answer answer = {0};
	struct claim_open values = {
	    .key = key_of(open->tenant, open->service, open->key),
	    .holder =
		{
		    .entry = str_from(open->holder),
		    .incarnation = open->holder_incarnation,
		    .attempt = open->attempt,
		},
	    .retention_us = open->retention_s * UINT64_C(1000000),
	    .claims_max = open->claims_max,
	    .time_us = time_us,
	};

	if (open->digest.len != sizeof(values.digest)) {
		set_status(result,
		    status_set(STATUS_INVALID, "claim digest has %zu bytes",
			open->digest.len));
		return;
	}
	memcpy(values.digest, open->digest.data, sizeof(values.digest));
	fill_claim_result(result,
	    claim_ledger_open(machine->ledger, &values, &answer), &answer);
}

/*
 * Ends a claim and notifies its waiters; STATUS_NOT_FOUND if the holder does
 * not hold it.
 */
static void
apply_claim_end(struct state_machine *machine, uint64_t time_us,
    const Wire__ClaimEnd *end, Wire__Result *result)
{
	struct claim_end values = {
	    .key = key_of(end->tenant, end->service, end->key),
	    .holder =
		{
		    .entry = str_from(end->holder),
		    .incarnation = end->holder_incarnation,
		    .attempt = end->attempt,
		},
	    .ending = (enum claim_ending)end->ending,
	    .answer =
		{
		    .http_status = end->http_status,
		    .content_type = str_from(end->content_type),
		    .body = bytes_view(end->answer),
		    .kept = end->answer_kept,
		},
	    .time_us = time_us,
	};

	if (!claim_ledger_end(machine->ledger, &values)) {
		set_status(result,
		    status_set(STATUS_NOT_FOUND, "the claim is not held"));
		return;
	}
	machine->claim_ended(machine->ctx, &values.key);
}

/*
 * Converts a target to the registry's type; the result borrows the strings.
 */
static struct registry_target
target_of(const Wire__Target *target)
{
	return (struct registry_target){
	    .id = str_from(target->id),
	    .service = str_from(target->service),
	    .address = str_from(target->address),
	    .failure_domain = str_from(target->failure_domain),
	    .holder = str_from(target->holder),
	    .slots = target->slots,
	    .connections = target->connections,
	    .state = (enum registry_state)target->state,
	    .incarnation = target->incarnation,
	    .sequence = target->sequence,
	};
}

/*
 * Adds or changes a target and logs the change for the view.  A put without
 * effect is not an error, since the target already is as requested. put->target
 * gets the state that the registry chose.
 */
static void
apply_target_put(struct state_machine *machine, uint64_t index,
    const Wire__TargetPut *put, Wire__Result *result)
{
	struct registry_target target;
	enum status status;

	if (put->target == NULL) {
		set_status(
		    result, status_set(STATUS_INVALID, "no target is given"));
		return;
	}
	target = target_of(put->target);
	status = registry_check(&target);
	if (status == STATUS_OK)
		status = registry_upsert(machine->registry, &target);
	if (status == STATUS_OK) {
		/* The registry keeps a drained target in state draining. */
		put->target->state = (Wire__TargetState)registry_find(
		    machine->registry, target.id)
					 ->state;
		view_log_add_target(machine->view, index, put->target);
	}
	if (status != STATUS_BUSY) /* STATUS_BUSY: no change needed */
		set_status(result, status);
}

/*
 * Removes a target if this incarnation of the holder holds it, and logs the
 * removal for the view.
 */
static void
apply_target_remove(struct state_machine *machine, uint64_t index,
    const Wire__TargetRemove *removal, Wire__Result *result)
{
	enum status status =
	    registry_remove(machine->registry, str_from(removal->id),
		str_from(removal->holder), removal->incarnation);

	if (status == STATUS_OK)
		view_log_add_target_removal(
		    machine->view, index, str_from(removal->id));
	set_status(result, status);
}

/*
 * Applies a command at a log index and returns its result, which is freed with
 * wire__result__free_unpacked().  Depends only on the state and the command, so
 * that all replicas agree; an unreadable command changes nothing.
 */
Wire__Result *
state_machine_apply(
    struct state_machine *machine, uint64_t index, struct str bytes)
{
	Wire__Result *result = result_new(index);
	Wire__Command *command =
	    wire__command__unpack(NULL, bytes.len, (const uint8_t *)bytes.data);

	if (command == NULL) {
		set_status(
		    result, status_set(STATUS_CORRUPT, "unreadable command"));
		return result;
	}
	switch (command->body_case) {
	case WIRE__COMMAND__BODY_EDIT:
		apply_edit(
		    machine, index, command->time_us, command->edit, result);
		break;
	case WIRE__COMMAND__BODY_CLAIM_OPEN:
		apply_claim_open(
		    machine, command->time_us, command->claim_open, result);
		break;
	case WIRE__COMMAND__BODY_CLAIM_END:
		apply_claim_end(
		    machine, command->time_us, command->claim_end, result);
		break;
	case WIRE__COMMAND__BODY_TARGET_PUT:
		apply_target_put(machine, index, command->target_put, result);
		break;
	case WIRE__COMMAND__BODY_TARGET_REMOVE:
		apply_target_remove(
		    machine, index, command->target_remove, result);
		break;
	case WIRE__COMMAND__BODY_ENTRY_LOST:
		claim_ledger_end_entry_claims(machine->ledger,
		    str_from(command->entry_lost->entry),
		    command->entry_lost->incarnation, command->time_us,
		    machine->claim_ended, machine->ctx);
		break;
	default:
		set_status(
		    result, status_set(STATUS_INVALID, "unknown command"));
		break;
	}
	wire__command__free_unpacked(command, NULL);
	return result;
}

/*
 * Appends a number as LENGTH_BYTES bytes in little-endian order.
 */
static void
append_length(struct str_buf *out, uint64_t value)
{
	char bytes[LENGTH_BYTES];

	for (int i = 0; i < LENGTH_BYTES; i++)
		bytes[i] = (char)(value >> (8 * i));
	str_buf_append(out, str_of(bytes, sizeof(bytes)));
}

/*
 * Removes a number from the front of *rest; false if it is truncated.
 */
static bool
take_length(struct str *rest, uint64_t *value)
{
	if (rest->len < LENGTH_BYTES)
		return false;
	*value = 0;
	for (int i = 0; i < LENGTH_BYTES; i++)
		*value |= (uint64_t)(unsigned char)rest->data[i] << (8 * i);
	rest->data += LENGTH_BYTES;
	rest->len -= LENGTH_BYTES;
	return true;
}

/*
 * Removes a length-prefixed part from the front of *rest; false if it is
 * truncated.  The part borrows from *rest.
 */
static bool
take_part(struct str *rest, struct str *part)
{
	uint64_t len;

	if (!take_length(rest, &len) || len > rest->len)
		return false;
	*part = str_of(rest->data, len);
	rest->data += len;
	rest->len -= len;
	return true;
}

/*
 * Appends a snapshot: the view's index, then the length-prefixed document,
 * registry and claim ledger.
 */
void
state_machine_save(const struct state_machine *machine, struct str_buf *out)
{
	struct str_buf parts[SNAPSHOT_PARTS - 1] = {0};

	document_save(machine->document, &parts[0]);
	registry_save(machine->registry, &parts[1]);
	claim_ledger_save(machine->ledger, &parts[2]);
	append_length(out, view_log_last_index(machine->view));
	for (int i = 0; i < SNAPSHOT_PARTS - 1; i++) {
		append_length(out, parts[i].len);
		str_buf_append(out, str_buf_view(&parts[i]));
		str_buf_free(&parts[i]);
	}
}

/*
 * Replaces the state by a snapshot taken at a log index; STATUS_CORRUPT if it
 * is truncated or damaged.
 */
enum status
state_machine_load(
    struct state_machine *machine, uint64_t index, struct str data)
{
	struct str parts[SNAPSHOT_PARTS - 1];
	enum status status;
	uint64_t view_index;

	if (!take_length(&data, &view_index) || !take_part(&data, &parts[0]) ||
	    !take_part(&data, &parts[1]) || !take_part(&data, &parts[2]))
		return status_set(STATUS_CORRUPT,
		    "snapshot at index %llu is truncated",
		    (unsigned long long)index);
	status = document_load(machine->document, parts[0]);
	if (status == STATUS_OK)
		status = registry_load(machine->registry, parts[1]);
	if (status == STATUS_OK)
		status = claim_ledger_load(machine->ledger, parts[2]);
	if (status == STATUS_OK)
		view_log_reset(machine->view, view_index);
	return status;
}
