/*
 * Tests of the document: edits, ownership, conflicts, resends, history and
 * serialization.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "document/document.h"
#include "document/document_diff.h"
#include "document/document_edits.h"
#include "document/document_split.h"

enum {
	TEXT_BYTES = 2048,
	HISTORY_MAX = 10
};

struct fixture {
	struct document *document;
	struct document_edit_result result;
	uint64_t index;
	unsigned last_id;
};

static void
hex_token_digest(const char *team, char out[2 * POLICY_DIGEST_BYTES + 1])
{
	uint8_t digest[POLICY_DIGEST_BYTES];
	char token[64];

	snprintf(token, sizeof(token), "%s-token", team);
	policy_digest(str_from(token), digest);
	sodium_bin2hex(
	    out, 2 * POLICY_DIGEST_BYTES + 1, digest, sizeof(digest));
}

static void
fleet_text(char out[TEXT_BYTES], const char *const *teams, unsigned count)
{
	char hex[2 * POLICY_DIGEST_BYTES + 1];
	size_t used = (size_t)snprintf(out, TEXT_BYTES,
	    "section: fleet\nteam: operations\nfleet:\n  teams:\n");

	for (unsigned i = 0; i < count; i++) {
		hex_token_digest(teams[i], hex);
		used += (size_t)snprintf(out + used, TEXT_BYTES - used,
		    "    - name: %s\n      token_sha256: %s\n", teams[i], hex);
	}
}

static void
service_text(char out[TEXT_BYTES], const char *name, const char *team,
    const char *host, unsigned slots)
{
	snprintf(out, TEXT_BYTES,
	    "section: %s\nteam: %s\nservice:\n  hosts: [%s]\n"
	    "  target_slots: %u\n"
	    "  routes:\n    - name: all\n      tenants: [\"*\"]\n",
	    name, team, host, slots);
}

static void
tenants_text(char out[TEXT_BYTES], const char *name, const char *team,
    const char *tenant)
{
	char hex[2 * POLICY_DIGEST_BYTES + 1];

	hex_token_digest(tenant, hex);
	snprintf(out, TEXT_BYTES,
	    "section: %s\nteam: %s\ntenants:\n  - name: %s\n"
	    "    token_sha256: %s\n",
	    name, team, tenant, hex);
}

/* Applies an edit under a new edit id and returns its status. */
static enum status
apply_edit(struct fixture *f, const char *team, const char *section,
    uint64_t base, const char *text)
{
	char id[32];
	struct document_edit wanted = {
	    .section = str_from(section),
	    .team = str_from(team),
	    .author = str_from("ann"),
	    .text = str_from(text),
	    .base_revision = base,
	    .remove = text == NULL,
	};

	snprintf(id, sizeof(id), "id-%u", ++f->last_id);
	wanted.edit_id = str_from(id);
	str_buf_free(&f->result.message);
	document_apply(f->document, &wanted, ++f->index, &f->result);
	return f->result.status;
}

static void
assert_message_contains(const struct fixture *f, const char *part)
{
	if (f->result.message.data == NULL ||
	    strstr(f->result.message.data, part) == NULL)
		fail_msg(
		    "\"%s\" does not say \"%s\"", f->result.message.data, part);
}

static int
setup(void **state)
{
	static const char *const teams[] = {"operations", "red", "blue"};
	static struct fixture f;
	char text[TEXT_BYTES];

	f = (struct fixture){.document = document_new()};
	fleet_text(text, teams, 3);
	assert_int_equal(
	    apply_edit(&f, DOCUMENT_BOOTSTRAP_TEAM, "fleet", 0, text),
	    STATUS_OK);
	*state = &f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	str_buf_free(&f->result.message);
	document_free(f->document);
	return 0;
}

static void
bootstrap_token_requires_empty_document(void **state)
{
	struct fixture *f = *state;
	struct fixture empty = {.document = document_new()};
	char text[TEXT_BYTES];

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(
	    apply_edit(f, DOCUMENT_BOOTSTRAP_TEAM, "shop", 0, text),
	    STATUS_DENIED);
	assert_int_equal(
	    apply_edit(&empty, "red", "shop", 0, text), STATUS_DENIED);
	assert_int_equal(
	    apply_edit(&empty, DOCUMENT_BOOTSTRAP_TEAM, "shop", 0, text),
	    STATUS_DENIED);
	assert_message_contains(&empty, "fleet section");
	str_buf_free(&empty.result.message);
	document_free(empty.document);
}

static void
stale_base_revision_conflicts(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	struct str kept;
	uint64_t first;

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	first = f->result.revision;
	assert_int_equal(first, f->index);
	service_text(text, "shop", "red", "shop.example", 5);
	assert_int_equal(apply_edit(f, "red", "shop", first, text), STATUS_OK);
	service_text(text, "shop", "red", "shop.example", 6);
	assert_int_equal(
	    apply_edit(f, "red", "shop", first, text), STATUS_CONFLICT);
	assert_int_equal(f->result.revision, first + 1);
	assert_message_contains(f, "-  target_slots: 4\n+  target_slots: 5\n");
	assert_message_contains(f, "last changed by ann of team red");
	assert_int_equal(
	    apply_edit(f, "red", "shop", 0, text), STATUS_CONFLICT);
	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(
	    apply_edit(f, "red", "shop", first + 1, text), STATUS_OK);
	assert_int_equal(
	    apply_edit(f, "red", "shop", first, text), STATUS_CONFLICT);
	assert_message_contains(f, "its text is the same as then");
	assert_int_equal(document_get_section_text(
			     f->document, str_from("shop"), first, &kept),
	    STATUS_OK);
	assert_true(str_equal_c(kept, text));
	assert_int_equal(document_get_section_text(
			     f->document, str_from("shop"), first + 9, &kept),
	    STATUS_NOT_FOUND);
}

static void
team_cannot_edit_other_teams_section(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	uint64_t first;

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	first = f->result.revision;
	assert_int_equal(
	    apply_edit(f, "blue", "shop", first, text), STATUS_DENIED);
	assert_int_equal(
	    apply_edit(f, "blue", "shop", first, NULL), STATUS_DENIED);
	service_text(text, "shop", "blue", "shop.example", 4);
	assert_int_equal(
	    apply_edit(f, "blue", "shop", first, text), STATUS_DENIED);
	assert_int_equal(
	    apply_edit(f, "red", "shop", first, text), STATUS_DENIED);
	assert_int_equal(
	    apply_edit(f, "green", "shop2", 0, text), STATUS_DENIED);
	assert_int_equal(
	    apply_edit(f, "red", "other", 0, text), STATUS_INVALID);
	assert_int_equal(apply_edit(f, "", "shop", first, text), STATUS_DENIED);
}

static void
hosts_routes_and_tenants_are_unique(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	service_text(text, "shop2", "blue", "shop.example", 4);
	assert_int_equal(
	    apply_edit(f, "blue", "shop2", 0, text), STATUS_INVALID);
	assert_message_contains(
	    f, "which section shop of team red has already");
	service_text(text, "shop3", "red", "shop.example", 4);
	assert_int_equal(
	    apply_edit(f, "red", "shop3", 0, text), STATUS_INVALID);
	assert_message_contains(f, "a method and path of its own on this host");
	tenants_text(text, "callers", "red", "store-1");
	assert_int_equal(apply_edit(f, "red", "callers", 0, text), STATUS_OK);
	tenants_text(text, "more", "blue", "store-1");
	assert_int_equal(
	    apply_edit(f, "blue", "more", 0, text), STATUS_INVALID);
	assert_message_contains(f, "section callers of team red");
}

static void
fleet_must_list_every_section_owner(void **state)
{
	static const char *const fewer[] = {"operations", "blue"};
	static const char *const twice[] = {"operations", "red", "bootstrap"};
	struct fixture *f = *state;
	char text[TEXT_BYTES];

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	fleet_text(text, fewer, 2);
	assert_int_equal(
	    apply_edit(f, "operations", "fleet", 1, text), STATUS_INVALID);
	assert_message_contains(
	    f, "team \"red\" is not given, but owns section shop");
	fleet_text(text, twice, 3);
	assert_int_equal(
	    apply_edit(f, "operations", "fleet", 1, text), STATUS_INVALID);
	assert_int_equal(
	    apply_edit(f, "operations", "fleet", 1, NULL), STATUS_INVALID);
	assert_int_equal(
	    apply_edit(f, "red", "shop", f->last_id > 0 ? 2 : 0, NULL),
	    STATUS_OK);
	assert_int_equal(
	    apply_edit(f, "operations", "fleet", 1, NULL), STATUS_OK);
	assert_int_equal(apply_edit(f, "red", "gone", 0, NULL), STATUS_DENIED);
}

static void
resend_repeats_first_answer(void **state)
{
	struct fixture *f = *state;
	char text[TEXT_BYTES];
	struct document_edit_result again;
	struct document_edit wanted = {
	    .section = str_from("shop"),
	    .team = str_from("red"),
	    .edit_id = str_from("apply-1"),
	};

	service_text(text, "shop", "red", "shop.example", 4);
	wanted.text = str_from(text);
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_OK);
	assert_false(again.resend);
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_OK);
	assert_true(again.resend);
	assert_int_equal(again.revision, f->index - 1);
	/* A resend may name the revision that the edit produced as its base. */
	wanted.base_revision = 2;
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_true(again.resend);
	assert_int_equal(again.revision, 2);
	service_text(text, "shop", "red", "shop.example", 5);
	wanted.text = str_from(text);
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_INVALID);
	assert_string_equal(
	    again.message.data, "edit id apply-1 was used for another edit");
	str_buf_free(&again.message);
	wanted.edit_id = str_from("apply-2");
	wanted.base_revision = 1;
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_CONFLICT);
	str_buf_free(&again.message);
	assert_int_equal(apply_edit(f, "red", "shop", 2, NULL), STATUS_OK);
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_CONFLICT);
	assert_true(again.resend);
	str_buf_free(&again.message);
	wanted.edit_id = str_from("");
	document_apply(f->document, &wanted, ++f->index, &again);
	assert_int_equal(again.status, STATUS_INVALID);
	str_buf_free(&again.message);
}

static void
oldest_edit_records_are_evicted(void **state ATTR_UNUSED)
{
	struct document_edits *edits = document_edits_new();
	struct document_edit_record record = {
	    .section = str_from("shop"),
	    .team = str_from("red"),
	};
	char id[16];

	for (unsigned i = 0; i <= DOCUMENT_EDITS_ACCEPTED_MAX; i++) {
		snprintf(id, sizeof(id), "%u", i);
		record.edit_id = str_from(id);
		record.revision = i;
		document_edits_add(edits, &record);
	}
	assert_int_equal(
	    document_edits_count(edits, true), DOCUMENT_EDITS_ACCEPTED_MAX);
	assert_null(document_edits_find(edits, record.team, str_from("0")));
	assert_int_equal(
	    document_edits_find(edits, record.team, str_from("1"))->revision,
	    1);
	document_edits_free(edits);
}

static void
history_is_newest_first(void **state)
{
	struct fixture *f = *state;
	struct document_history_entry entries[HISTORY_MAX];
	char text[TEXT_BYTES];

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	assert_int_equal(apply_edit(f, "red", "shop", 2, NULL), STATUS_OK);
	assert_int_equal(
	    document_history(f->document, str_of("", 0), entries, HISTORY_MAX),
	    3);
	assert_true(entries[0].removed);
	assert_int_equal(entries[0].revision, 3);
	assert_int_equal(entries[2].revision, 1);
	assert_int_equal(document_history(f->document, str_from("shop"),
			     entries, HISTORY_MAX),
	    2);
	assert_int_equal(
	    document_history(f->document, str_of("", 0), entries, 1), 1);
}

static void
token_identifies_its_team(void **state)
{
	struct fixture *f = *state;
	struct str team;

	assert_true(document_find_team_by_token(
	    f->document, str_from("blue-token"), &team));
	assert_true(str_equal_c(team, "blue"));
	assert_false(
	    document_find_team_by_token(f->document, str_from("blue"), &team));
	assert_false(
	    document_find_team_by_token(f->document, str_from(""), &team));
	assert_true(document_team_has_token(
	    f->document, str_from("red"), str_from("red-token")));
	assert_false(document_team_has_token(
	    f->document, str_from("red"), str_from("blue-token")));
}

static void
rendered_document_splits_into_sections(void **state)
{
	struct fixture *f = *state;
	struct str_buf whole = {0};
	struct document_split_part part;
	char text[TEXT_BYTES];
	uint32_t line = 1;
	struct str rest;

	service_text(text, "a-shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "a-shop", 0, text), STATUS_OK);
	document_render(f->document, &whole);
	rest = str_buf_view(&whole);
	assert_true(document_split_next(&rest, &line, &part));
	assert_true(str_equal_c(part.text, text));
	assert_true(document_split_next(&rest, &line, &part));
	assert_true(str_has_prefix(part.text, str_from("section: fleet\n")));
	assert_false(document_split_next(&rest, &line, &part));
	str_buf_free(&whole);
}

static void
save_and_load_round_trip(void **state)
{
	struct fixture *f = *state;
	struct document *other = document_new();
	struct str_buf saved = {0};
	struct str_buf again = {0};
	char text[TEXT_BYTES];
	struct str kept;

	service_text(text, "shop", "red", "shop.example", 4);
	assert_int_equal(apply_edit(f, "red", "shop", 0, text), STATUS_OK);
	assert_int_equal(apply_edit(f, "red", "shop", 2, text), STATUS_OK);
	assert_int_equal(
	    apply_edit(f, "red", "shop", 2, text), STATUS_CONFLICT);
	document_save(f->document, &saved);
	assert_int_equal(document_load(other, str_buf_view(&saved)), STATUS_OK);
	document_save(other, &again);
	assert_true(str_equal(str_buf_view(&saved), str_buf_view(&again)));
	assert_int_equal(
	    document_get_section_text(other, str_from("shop"), 2, &kept),
	    STATUS_OK);
	assert_true(str_equal_c(kept, text));
	for (size_t i = 0; i < saved.len; i += 7) {
		saved.data[i] ^= 1;
		assert_int_equal(
		    document_load(other, str_buf_view(&saved)), STATUS_CORRUPT);
		saved.data[i] ^= 1;
	}
	str_buf_free(&saved);
	str_buf_free(&again);
	document_free(other);
}

static void
diff_shows_hunks(void **state ATTR_UNUSED)
{
	struct str_buf out = {0};

	document_diff(
	    str_from("a\nb\nc\n"), str_from("a\nb\nc\n"), 3, 1000, &out);
	assert_int_equal(out.len, 0);
	document_diff(str_from("a\nb\nc\nd\n"), str_from("a\nx\nc\nd\ne\n"), 0,
	    1000, &out);
	assert_string_equal(
	    out.data, "@@ -2,1 +2,1 @@\n-b\n+x\n@@ -4,0 +5,1 @@\n+e\n");
	str_buf_clear(&out);
	document_diff(str_from(""), str_from("a\n"), 3, 1000, &out);
	assert_string_equal(out.data, "@@ -0,0 +1,1 @@\n+a\n");
	str_buf_clear(&out);
	document_diff(str_from("a\nb\n"), str_from("c\nd\n"), 1, 20, &out);
	assert_non_null(strstr(out.data, "left out"));
	str_buf_free(&out);
}

#define DOCUMENT_TEST(name) \
	cmocka_unit_test_setup_teardown(name, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    DOCUMENT_TEST(bootstrap_token_requires_empty_document),
	    DOCUMENT_TEST(stale_base_revision_conflicts),
	    DOCUMENT_TEST(team_cannot_edit_other_teams_section),
	    DOCUMENT_TEST(hosts_routes_and_tenants_are_unique),
	    DOCUMENT_TEST(fleet_must_list_every_section_owner),
	    DOCUMENT_TEST(resend_repeats_first_answer),
	    cmocka_unit_test(oldest_edit_records_are_evicted),
	    DOCUMENT_TEST(history_is_newest_first),
	    DOCUMENT_TEST(token_identifies_its_team),
	    DOCUMENT_TEST(rendered_document_splits_into_sections),
	    DOCUMENT_TEST(save_and_load_round_trip),
	    cmocka_unit_test(diff_shows_hunks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
