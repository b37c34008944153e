/*
 * Seeded sequences of concurrent edits by several teams, with stale base
 * revisions, resends and reloads from snapshots.  Every answer is compared with
 * a simple reference model, and the faults of a last-writer-wins document are
 * counted for the same edits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "base/random.h"
#include "document/document.h"

enum {
	SECTIONS = 4,
	TEAMS = 2,
	STEPS = 600,
	SEEDS = 60,
	RECENT_MAX = 32, /* recent requests that may be resent */
	TEXT_BYTES = 512,
	ID_BYTES = 24
};

static const char *const team_names[TEAMS] = {"red", "blue"};
static const char *const section_names[SECTIONS] = {"s0", "s1", "s2", "s3"};

struct request {
	char id[ID_BYTES];
	char text[TEXT_BYTES];
	unsigned team;
	unsigned section;
	uint64_t base;
	bool remove;
	bool valid;
	bool sent;
	enum status first_status;
	uint64_t first_revision;
};

/* Reference model of a section. */
struct model_section {
	uint64_t revision; /* 0: does not exist */
	unsigned team;
	char text[TEXT_BYTES];
};

/* Faults that a last-writer-wins document would have had. */
struct lww_counts {
	unsigned lost_updates; /* accepted edits overwritten unseen */
	unsigned reapplied; /* edits applied again by a resend */
	unsigned foreign; /* edits of another team's section */
};

struct run {
	struct random random;
	struct document *document;
	struct model_section model[SECTIONS];
	struct lww_counts lww;
	struct request recent[RECENT_MAX];
	unsigned request_count;
	uint64_t index;
	uint64_t last_accepted[SECTIONS];
	uint64_t highest;
	unsigned accepted;
	unsigned conflicts;
	unsigned denied;
	unsigned resends;
};

static void
write_text(struct request *request, unsigned value)
{
	snprintf(request->text, sizeof(request->text),
	    "section: %s\nteam: %s\nservice:\n  hosts: [%s.example]\n"
	    "  target_slots: %u\n"
	    "  routes:\n    - name: all\n      tenants: [\"*\"]\n",
	    section_names[request->section], team_names[request->team],
	    section_names[request->section], request->valid ? value : 0);
}

static uint64_t
choose_base(struct run *run, unsigned section)
{
	uint64_t current = run->model[section].revision;

	switch (random_below(&run->random, 6)) {
	case 0:
		return 0;
	case 1:
		return random_below(&run->random, run->index + 2);
	case 2:
		return run->last_accepted[section];
	default:
		return current;
	}
}

static struct request *
make_request(struct run *run)
{
	struct request *request = &run->recent[run->request_count % RECENT_MAX];

	*request = (struct request){
	    .team = (unsigned)random_below(&run->random, TEAMS),
	    .section = (unsigned)random_below(&run->random, SECTIONS),
	    .remove = random_below(&run->random, 8) == 0,
	    .valid = random_below(&run->random, 10) > 0,
	};
	request->base = choose_base(run, request->section);
	snprintf(
	    request->id, sizeof(request->id), "edit-%u", run->request_count++);
	write_text(request, 1 + (unsigned)random_below(&run->random, 1000));
	return request;
}

static enum status
model_apply(struct run *run, struct request *request)
{
	struct model_section *section = &run->model[request->section];

	if (request->sent && request->first_status != STATUS_DENIED)
		return request->first_status;
	if (section->revision != 0 && section->team != request->team)
		return STATUS_DENIED;
	if (section->revision != request->base)
		return STATUS_CONFLICT;
	if (request->remove && section->revision == 0)
		return STATUS_NOT_FOUND;
	if (!request->remove && !request->valid)
		return STATUS_INVALID;
	section->revision = request->remove ? 0 : run->index;
	section->team = request->team;
	memcpy(section->text, request->text, sizeof(section->text));
	return STATUS_OK;
}

/* Counts the faults of a last-writer-wins document for a request. */
static void
lww_count(
    struct run *run, const struct request *request, uint64_t revision_before)
{
	const struct model_section *section = &run->model[request->section];

	if (!request->valid && !request->remove)
		return;
	if (request->sent)
		run->lww.reapplied++;
	else if (revision_before != 0 && section->team != request->team)
		run->lww.foreign++;
	else if (revision_before != request->base)
		run->lww.lost_updates++;
}

static void
check_answer(struct run *run, struct request *request, enum status expected,
    const struct document_edit_result *result)
{
	bool resend = request->sent && request->first_status != STATUS_DENIED;

	assert_int_equal(result->status, expected);
	assert_int_equal(result->resend, resend);
	if (resend) {
		run->resends++;
		assert_true(result->revision == request->first_revision);
		return;
	}
	if (expected == STATUS_OK) {
		/* Linearizable: based on the last accepted revision. */
		assert_true(result->revision == run->index);
		assert_true(result->revision > run->highest);
		run->highest = result->revision;
		run->last_accepted[request->section] = run->index;
		run->accepted++;
	}
	run->conflicts += expected == STATUS_CONFLICT;
	run->denied += expected == STATUS_DENIED;
	request->first_status = result->status;
	request->first_revision = result->revision;
	request->sent = true;
}

static void
send_request(struct run *run, struct request *request)
{
	struct document_edit_result result;
	struct document_edit edit = {
	    .section = str_from(section_names[request->section]),
	    .team = str_from(team_names[request->team]),
	    .author = str_from("ann"),
	    .edit_id = str_from(request->id),
	    .text = str_from(request->text),
	    .base_revision = request->base,
	    .remove = request->remove,
	};
	uint64_t before = run->model[request->section].revision;
	enum status expected;

	run->index += 1 + random_below(&run->random, 3);
	lww_count(run, request, before);
	expected = model_apply(run, request);
	document_apply(run->document, &edit, run->index, &result);
	check_answer(run, request, expected, &result);
	str_buf_free(&result.message);
}

static void
compare_texts(const struct run *run)
{
	struct policy *policy = document_policy(run->document);
	unsigned present = 1; /* the fleet section */

	for (unsigned i = 0; i < SECTIONS; i++) {
		const struct model_section *model = &run->model[i];
		const struct policy_section *section =
		    policy_find_section(policy, str_from(section_names[i]));

		assert_int_equal(section != NULL, model->revision != 0);
		if (section == NULL)
			continue;
		present++;
		assert_true(section->revision == model->revision);
		assert_true(str_equal_c(section->text, model->text));
	}
	assert_int_equal(policy->section_count, present);
	policy_put(policy);
}

/* Simulates a restart: the state is restored from a snapshot. */
static void
reload_from_snapshot(struct run *run)
{
	struct str_buf saved = {0};

	document_save(run->document, &saved);
	document_free(run->document);
	run->document = document_new();
	assert_int_equal(
	    document_load(run->document, str_buf_view(&saved)), STATUS_OK);
	str_buf_free(&saved);
}

static void
write_fleet(struct run *run)
{
	char hex[TEAMS][2 * POLICY_DIGEST_BYTES + 1];
	uint8_t digest[POLICY_DIGEST_BYTES];
	char text[TEXT_BYTES];
	struct document_edit_result result;
	struct document_edit edit = {
	    .section = str_from("fleet"),
	    .team = str_from(DOCUMENT_BOOTSTRAP_TEAM),
	    .edit_id = str_from("first"),
	};

	for (unsigned i = 0; i < TEAMS; i++) {
		policy_digest(str_from(team_names[i]), digest);
		sodium_bin2hex(hex[i], sizeof(hex[i]), digest, sizeof(digest));
	}
	snprintf(text, sizeof(text),
	    "section: fleet\nteam: red\nfleet:\n  teams:\n"
	    "    - {name: red, token_sha256: %s}\n"
	    "    - {name: blue, token_sha256: %s}\n",
	    hex[0], hex[1]);
	edit.text = str_from(text);
	run->index = 1;
	document_apply(run->document, &edit, run->index, &result);
	assert_int_equal(result.status, STATUS_OK);
	run->highest = 1;
}

static void
run_seed(struct run *run, uint64_t seed)
{
	random_seed(&run->random, seed);
	run->document = document_new();
	write_fleet(run);
	for (unsigned step = 0; step < STEPS; step++) {
		bool again = run->request_count > 0 &&
		    random_below(&run->random, 5) == 0;
		unsigned kept = run->request_count < RECENT_MAX
		    ? run->request_count
		    : RECENT_MAX;

		if (again)
			send_request(run,
			    &run->recent[random_below(&run->random, kept)]);
		else
			send_request(run, make_request(run));
		if (random_below(&run->random, 50) == 0)
			reload_from_snapshot(run);
		compare_texts(run);
	}
	document_free(run->document);
}

static void
concurrent_edits_match_model(void **state ATTR_UNUSED)
{
	struct lww_counts lww = {0};
	unsigned accepted = 0;
	unsigned conflicts = 0;
	unsigned denied = 0;
	unsigned resends = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct run run = {0};

		run_seed(&run, seed);
		lww.lost_updates += run.lww.lost_updates;
		lww.reapplied += run.lww.reapplied;
		lww.foreign += run.lww.foreign;
		accepted += run.accepted;
		conflicts += run.conflicts;
		denied += run.denied;
		resends += run.resends;
	}
	print_message("%d seeds of %d edits: %u accepted, %u conflicts, %u "
		      "denied, %u resends answered as first\n",
	    SEEDS, STEPS, accepted, conflicts, denied, resends);
	print_message("last writer wins, same edits: %u lost, %u applied "
		      "again, %u by another team; here 0, 0, 0\n",
	    lww.lost_updates, lww.reapplied, lww.foreign);
	assert_true(
	    lww.lost_updates > 0 && lww.reapplied > 0 && lww.foreign > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(concurrent_edits_match_model),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
