/*
 * Tests of the replicated state machine and of the view log: loading a snapshot
 * restores the same state, and a reader that applies batches of changes ends
 * with the targets of the registry.  The expected targets are tracked
 * separately.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "base/random.h"
#include "control/state_machine.h"
#include "control/view_log.h"

enum {
	TARGETS = 40,
	STEPS = 20000,
	ID_BYTES = 16
};

static unsigned ended_claims;

static void
count_ended(void *ctx ATTR_UNUSED, const struct claim_key *key ATTR_UNUSED)
{
	ended_claims++;
}

static enum status
apply(struct state_machine *machine, uint64_t index, Wire__Command *command,
    Wire__Result **result)
{
	size_t len = wire__command__get_packed_size(command);
	uint8_t *bytes = mem_alloc(len);
	Wire__Result *outcome;
	enum status status;

	wire__command__pack(command, bytes);
	outcome = state_machine_apply(
	    machine, index, str_of((const char *)bytes, len));
	mem_free(bytes);
	status = (enum status)outcome->status;
	if (result != NULL)
		*result = outcome;
	else
		wire__result__free_unpacked(outcome, NULL);
	return status;
}

static enum status
put_target(struct state_machine *machine, uint64_t index, unsigned number,
    uint64_t incarnation, uint64_t sequence)
{
	Wire__Target target = WIRE__TARGET__INIT;
	Wire__TargetPut put = WIRE__TARGET_PUT__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	char id[ID_BYTES];

	snprintf(id, sizeof(id), "target-%u", number);
	target.id = id;
	target.service = (char *)"orders";
	target.address = (char *)"127.0.0.1:9000";
	target.failure_domain = (char *)"north";
	target.holder = (char *)"entry-1";
	target.slots = 4;
	target.connections = 250;
	target.incarnation = incarnation;
	target.sequence = sequence;
	put.target = &target;
	command.body_case = WIRE__COMMAND__BODY_TARGET_PUT;
	command.target_put = &put;
	return apply(machine, index, &command, NULL);
}

static enum status
remove_target(struct state_machine *machine, uint64_t index, unsigned number)
{
	Wire__TargetRemove removal = WIRE__TARGET_REMOVE__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	char id[ID_BYTES];

	snprintf(id, sizeof(id), "target-%u", number);
	removal.id = id;
	removal.holder = (char *)"entry-1";
	command.body_case = WIRE__COMMAND__BODY_TARGET_REMOVE;
	command.target_remove = &removal;
	return apply(machine, index, &command, NULL);
}

static uint32_t
open_claim(struct state_machine *machine, uint64_t index, const char *key,
    uint64_t attempt)
{
	Wire__ClaimOpen open = WIRE__CLAIM_OPEN__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__Result *result;
	uint8_t digest[CLAIM_DIGEST_BYTES] = {1};
	uint32_t verdict;

	open.tenant = (char *)"store-1";
	open.service = (char *)"orders";
	open.key = (char *)key;
	open.digest.data = digest;
	open.digest.len = sizeof(digest);
	open.holder = (char *)"entry-1";
	open.holder_incarnation = 7;
	open.attempt = attempt;
	open.retention_s = 3600;
	open.claims_max = 1000;
	command.time_us = index;
	command.body_case = WIRE__COMMAND__BODY_CLAIM_OPEN;
	command.claim_open = &open;
	assert_int_equal(apply(machine, index, &command, &result), STATUS_OK);
	verdict = result->claim->verdict;
	wire__result__free_unpacked(result, NULL);
	return verdict;
}

static void
lose_entry(struct state_machine *machine, uint64_t index)
{
	Wire__EntryLost lost = WIRE__ENTRY_LOST__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;

	lost.entry = (char *)"entry-1";
	lost.incarnation = 7;
	command.body_case = WIRE__COMMAND__BODY_ENTRY_LOST;
	command.entry_lost = &lost;
	assert_int_equal(apply(machine, index, &command, NULL), STATUS_OK);
}

static void
claims_of_lost_entry_become_unknown(void **state ATTR_UNUSED)
{
	struct state_machine machine;

	ended_claims = 0;
	state_machine_init(&machine, count_ended, NULL);
	assert_int_equal(open_claim(&machine, 1, "a", 1),
	    WIRE__CLAIM_VERDICT__CLAIM_GRANTED);
	assert_int_equal(open_claim(&machine, 2, "a", 2),
	    WIRE__CLAIM_VERDICT__CLAIM_IN_PROGRESS);
	lose_entry(&machine, 3);
	assert_int_equal(ended_claims, 1);
	assert_int_equal(open_claim(&machine, 4, "a", 3),
	    WIRE__CLAIM_VERDICT__CLAIM_OUTCOME_UNKNOWN);
	state_machine_destroy(&machine);
}

static void
snapshot_round_trip(void **state ATTR_UNUSED)
{
	struct state_machine first, second;
	struct str_buf before = {0}, after = {0};

	state_machine_init(&first, count_ended, NULL);
	state_machine_init(&second, count_ended, NULL);
	for (unsigned i = 0; i < TARGETS; i++)
		assert_int_equal(put_target(&first, i + 1, i, 1, 1), STATUS_OK);
	(void)open_claim(&first, TARGETS + 1, "a", 1);
	state_machine_save(&first, &before);
	assert_int_equal(
	    state_machine_load(&second, TARGETS + 1, str_buf_view(&before)),
	    STATUS_OK);
	state_machine_save(&second, &after);
	assert_true(str_equal(str_buf_view(&before), str_buf_view(&after)));
	assert_int_equal(view_log_last_index(second.view), TARGETS);
	assert_int_equal(open_claim(&second, TARGETS + 2, "a", 2),
	    WIRE__CLAIM_VERDICT__CLAIM_IN_PROGRESS);
	for (size_t cut = 0; cut < before.len; cut += 97)
		assert_int_equal(
		    state_machine_load(&second, 1, str_of(before.data, cut)),
		    STATUS_CORRUPT);
	str_buf_free(&before);
	str_buf_free(&after);
	state_machine_destroy(&first);
	state_machine_destroy(&second);
}

static void
invalid_commands_change_nothing(void **state ATTR_UNUSED)
{
	struct state_machine machine;
	Wire__Result *result;

	state_machine_init(&machine, count_ended, NULL);
	result = state_machine_apply(&machine, 1, STR_LITERAL("\xff\xff\xff"));
	assert_int_equal(result->status, STATUS_CORRUPT);
	wire__result__free_unpacked(result, NULL);
	result = state_machine_apply(&machine, 2, STR_LITERAL(""));
	assert_int_equal(result->status, STATUS_INVALID);
	wire__result__free_unpacked(result, NULL);
	assert_int_equal(view_log_last_index(machine.view), 0);
	state_machine_destroy(&machine);
}

/* A reader of the view: the targets it knows. */
struct view_reader {
	bool present[TARGETS];
	uint64_t index;
};

static unsigned
number_of(const char *id)
{
	unsigned number;

	assert_int_equal(sscanf(id, "target-%u", &number), 1);
	return number;
}

static void
update_reader(
    struct view_reader *view_reader, const struct state_machine *machine)
{
	Wire__Changes batch = WIRE__CHANGES__INIT;

	if (!view_log_changes_since(
		machine->view, view_reader->index, &batch)) {
		for (unsigned i = 0; i < TARGETS; i++) {
			char id[ID_BYTES];

			snprintf(id, sizeof(id), "target-%u", i);
			view_reader->present[i] =
			    registry_find(machine->registry, str_from(id)) !=
			    NULL;
		}
		view_reader->index = view_log_last_index(machine->view);
		return;
	}
	for (size_t i = 0; i < batch.n_changes; i++) {
		const Wire__Change *change = batch.changes[i];

		assert_true(change->index > view_reader->index);
		if (change->body_case == WIRE__CHANGE__BODY_TARGET)
			view_reader->present[number_of(change->target->id)] =
			    true;
		else
			view_reader
			    ->present[number_of(change->target_removed)] =
			    false;
	}
	view_reader->index = batch.to_index;
	view_log_batch_free(&batch);
}

static void
readers_converge_to_the_same_view(void **state ATTR_UNUSED)
{
	struct view_reader frequent = {0}, infrequent = {0};
	bool present[TARGETS] = {0};
	struct state_machine machine;
	struct random random;

	random_seed(&random, 1);
	state_machine_init(&machine, count_ended, NULL);
	for (uint64_t index = 1; index <= STEPS; index++) {
		unsigned number = (unsigned)random_below(&random, TARGETS);

		if (present[number])
			assert_int_equal(
			    remove_target(&machine, index, number), STATUS_OK);
		else
			assert_int_equal(
			    put_target(&machine, index, number, index, 1),
			    STATUS_OK);
		present[number] = !present[number];
		if (random_below(&random, 20) == 0)
			update_reader(&frequent, &machine);
		if (random_below(&random, 9000) == 0)
			update_reader(&infrequent, &machine);
	}
	update_reader(&frequent, &machine);
	update_reader(&infrequent, &machine);
	assert_memory_equal(frequent.present, present, sizeof(present));
	assert_memory_equal(infrequent.present, present, sizeof(present));
	assert_int_equal(frequent.index, STEPS);
	state_machine_destroy(&machine);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(claims_of_lost_entry_become_unknown),
	    cmocka_unit_test(snapshot_round_trip),
	    cmocka_unit_test(invalid_commands_change_nothing),
	    cmocka_unit_test(readers_converge_to_the_same_view),
	};

	return cmocka_run_group_tests_name(
	    "control_machine", tests, NULL, NULL);
}
