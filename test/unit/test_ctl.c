/*
 * Tests of the parts of gypsummillctl that need no control instance.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "ctl/ctl_burn.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_command.h"
#include "ctl/ctl_document.h"
#include "ctl/ctl_file.h"
#include "ctl/ctl_group.h"
#include "ctl/ctl_json.h"
#include "ctl/ctl_table.h"
#include "ctl/ctl_token.h"

static const char fleet[] = "section: fleet\nteam: operations\nfleet:\n"
			    "  teams:\n    - name: operations\n"
			    "      token_sha256: "
			    "0bab5450ae8b03547eb2ebff2a550adeeb66743fb34e0eac"
			    "1eff8ea1edac73ca\n";

/* Writes text to a temporary file; returns its path, freed by the caller. */
static char *
write_file(const char *text)
{
	char *path = str_dup(str_from("/tmp/gypsummill-test-ctl-XXXXXX"));
	int fd = mkstemp(path);
	FILE *file;

	assert_true(fd >= 0);
	file = fdopen(fd, "w");
	assert_non_null(file);
	fputs(text, file);
	fclose(file);
	return path;
}

/* Runs a command and returns its exit code; out is set to its output. */
static int
run_command(const char *name, char *argument, bool json, struct str_buf *out)
{
	struct ctl_settings settings = {.wait = (char *)"accepted"};
	struct ctl ctl = {.settings = &settings, .json = json};
	char *arguments[] = {argument, NULL};
	char chunk[4096];
	size_t chunk_len;
	int exit_code;

	ctl.out = tmpfile();
	assert_non_null(ctl.out);
	exit_code = ctl_command_run(
	    ctl_command_find(name), &ctl, argument != NULL, arguments);
	rewind(ctl.out);
	str_buf_clear(out);
	while ((chunk_len = fread(chunk, 1, sizeof(chunk), ctl.out)) > 0)
		str_buf_append(out, str_of(chunk, chunk_len));
	fclose(ctl.out);
	return exit_code;
}

/* Runs check on a file with this text; returns the exit code. */
static int
run_check(const char *text, bool json, struct str_buf *out)
{
	char *path = write_file(text);
	int exit_code = run_command("check", path, json, out);

	remove(path);
	mem_free(path);
	return exit_code;
}

static void
check_returns_exit_codes(void **state ATTR_UNUSED)
{
	struct str_buf out = {0};
	struct str_buf text = {0};

	assert_int_equal(run_check(fleet, false, &out), CTL_EXIT_OK);
	assert_non_null(strstr(out.data, ": 1 sections, valid\n"));
	str_buf_append_c(&text, fleet);
	str_buf_append_c(&text,
	    "---\nsection: shop\nteam: sales\n"
	    "service:\n  hosts: [a.example]\n"
	    "  routes:\n    - name: all\n"
	    "      tenants: [x]\n      deadline: 5\n");
	assert_int_equal(run_check(text.data, false, &out), CTL_EXIT_INVALID);
	/* The line number counts from the start of the file, not the section. */
	assert_non_null(strstr(out.data,
	    "section shop, line 15, service.routes[0].deadline: found "
	    "\"5\""));
	assert_int_equal(run_check(text.data, true, &out), CTL_EXIT_INVALID);
	assert_non_null(strstr(out.data, "\"valid\":false"));
	str_buf_clear(&text);
	str_buf_append_c(&text, fleet);
	str_buf_append_c(&text,
	    "---\nsection: callers\nteam: sales\n"
	    "tenants: [{name: a, token_sha256: 4}]\n");
	assert_int_equal(run_check(text.data, false, &out), CTL_EXIT_INVALID);
	str_buf_clear(&text);
	str_buf_append_c(&text, fleet);
	str_buf_append_c(&text,
	    "---\nsection: shop\nteam: sales\n"
	    "service:\n  hosts: [a.example]\n"
	    "  routes:\n    - name: all\n"
	    "      tenants: [x]\n");
	assert_int_equal(run_check(text.data, false, &out), CTL_EXIT_INVALID);
	assert_non_null(strstr(out.data, "allowed: a team of fleet.teams"));
	assert_int_equal(run_check("# empty\n", false, &out), CTL_EXIT_INVALID);
	assert_int_equal(
	    run_command("check", (char *)"no/such/file", false, &out),
	    CTL_EXIT_NO_INPUT);
	str_buf_free(&out);
	str_buf_free(&text);
}

static void
commands_check_their_arguments(void **state ATTR_UNUSED)
{
	struct str_buf out = {0};

	assert_null(ctl_command_find("aply"));
	assert_int_equal(
	    run_command("check", NULL, false, &out), CTL_EXIT_USAGE);
	assert_int_equal(run_command("completion", (char *)"zsh", false, &out),
	    CTL_EXIT_USAGE);
	assert_int_equal(run_command("completion", (char *)"bash", false, &out),
	    CTL_EXIT_OK);
	assert_non_null(strstr(out.data, "add-learner"));
	assert_int_equal(
	    run_command("status", NULL, false, &out), CTL_EXIT_SETTINGS);
	assert_int_equal(run_command("keys", (char *)"entry-1", false, &out),
	    CTL_EXIT_USAGE);
	str_buf_free(&out);
}

/*
 * docs/DOCUMENT.md must contain the output of the fields command; it fails if
 * fields change and the page is not regenerated.
 */
static void
document_page_lists_all_fields(void **state ATTR_UNUSED)
{
	struct str_buf out = {0};
	struct str_buf page = {0};

	assert_int_equal(run_command("fields", NULL, false, &out), CTL_EXIT_OK);
	assert_int_equal(ctl_read_file("docs/DOCUMENT.md", &page), STATUS_OK);
	assert_non_null(strstr(page.data, out.data));
	str_buf_free(&out);
	str_buf_free(&page);
}

static void
table_columns_align(void **state ATTR_UNUSED)
{
	struct ctl_table *table = ctl_table_new("name|count|state", false);
	struct str_buf out = {0};

	ctl_table_add_cell(table,
	    str_from("v\xc4\x93jr\xc4\x81"
		     "dis"));
	ctl_table_add_number(table, 5);
	ctl_table_add_cell(table, str_from("ready"));
	ctl_table_add_cell(table, str_from("x"));
	ctl_table_add_number(table, 12345);
	ctl_table_add_cell(table, str_from("cold"));
	ctl_table_add_cell(table, str_from("half a row"));
	ctl_table_render(table, &out);
	assert_string_equal(out.data,
	    "name      count  state\n"
	    "v\xc4\x93jr\xc4\x81"
	    "dis      5  ready\n"
	    "x         12345  cold\n");
	ctl_table_free(table);
	table = ctl_table_new("state", true);
	str_buf_clear(&out);
	ctl_table_add_cell(table, str_from("ready"));
	ctl_table_render(table, &out);
	assert_string_equal(
	    out.data, "\033[1mstate\033[0m\n\033[32mready\033[0m\n");
	ctl_table_free(table);
	str_buf_free(&out);
}

static void
json_renders_as_text(void **state ATTR_UNUSED)
{
	struct json_object *root;
	struct str_buf out = {0};

	assert_int_equal(
	    ctl_json_parse(
		str_from("{\"code\":\"rate-limited\",\"wall_us\":86400000000,"
			 "\"figures\":[{\"name\":\"calls\",\"value\":41}],"
			 "\"section_text\":\"a: 1\\nb: 2\\n\"}"),
		&root),
	    STATUS_OK);
	ctl_json_append_text(root, false, &out);
	assert_string_equal(out.data,
	    "code          rate-limited\n"
	    "wall_us       1970-01-02 00:00:00 UTC\n"
	    "\nfigures:\nname   value\ncalls     41\n"
	    "\nsection_text:\n    a: 1\n    b: 2\n");
	json_object_put(root);
	assert_int_equal(
	    ctl_json_parse(str_from("{"), &root), STATUS_UNAVAILABLE);
	str_buf_free(&out);
}

static void
rows_without_scalars_render_as_json(void **state ATTR_UNUSED)
{
	struct json_object *root;
	struct str_buf out = {0};

	assert_int_equal(
	    ctl_json_parse(str_from("{\"a\":[{}],\"b\":[{\"c\":[1]}]}"), &root),
	    STATUS_OK);
	ctl_json_append_text(root, false, &out);
	assert_string_equal(
	    out.data, "\na:\n    { }\n\nb:\n    { \"c\": [ 1 ] }\n");
	json_object_put(root);
	str_buf_free(&out);
}

static void
diff_reports_missing_section(void **state ATTR_UNUSED)
{
	struct ctl_settings settings = {.section = (char *)"flet"};
	struct ctl ctl = {.settings = &settings, .out = stdout};
	char *path = write_file(fleet);
	char *arguments[] = {path, NULL};

	assert_int_equal(ctl_diff(&ctl, arguments), CTL_EXIT_DIFFERS);
	assert_string_equal(status_message(), "the file has no section flet");
	remove(path);
	mem_free(path);
}

static void
status_renders_as_tables(void **state ATTR_UNUSED)
{
	struct json_object *root;
	struct str_buf out = {0};

	assert_int_equal(
	    ctl_json_parse(
		str_from(
		    "{\"instance\":\"c1\",\"role\":\"leader\",\"term\":3,"
		    "\"leader\":1,\"commit_index\":9,\"applied_index\":9,"
		    "\"view_index\":8,\"members\":[{\"id\":1,\"address\":"
		    "\"127.0.0.1:1\",\"voter\":true}],\"entries\":[{\"name\":"
		    "\"e1\",\"applied_index\":7,\"lease_left_ms\":900,"
		    "\"spare_eighths\":4},{\"name\":\"e2\","
		    "\"lease_left_ms\":0}],\"targets\":[]}"),
		&root),
	    STATUS_OK);
	ctl_status_render(root, false, &out);
	assert_non_null(
	    strstr(out.data, "control c1 is leader in term 3; leader: 1\n"));
	assert_non_null(strstr(out.data, "1  127.0.0.1:1  leader\n"));
	assert_non_null(strstr(out.data, "behind"));
	assert_non_null(strstr(out.data, "expired"));
	assert_null(strstr(out.data, "target"));
	json_object_put(root);
	str_buf_free(&out);
}

static void
burn_report_renders_as_svg_and_table(void **state ATTR_UNUSED)
{
	struct json_object *root;
	struct str_buf out = {0};

	assert_int_equal(
	    ctl_json_parse(
		str_from("{\"burn\":[{\"service\":\"shop\",\"objective\":"
			 "\"fast\",\"tenant\":\"a<b\",\"success_permyriad\":"
			 "9900,\"short\":{\"rate\":1},\"long\":{\"rate\":2},"
			 "\"window\":{\"good\":997,\"bad\":3,\"rate\":0.3},"
			 "\"budget_left\":0.7},{\"service\":\"shop\","
			 "\"objective\":\"fast\",\"tenant\":\"c\","
			 "\"success_permyriad\":9900,\"window\":{\"good\":"
			 "1000,\"bad\":0}}]}"),
		&root),
	    STATUS_OK);
	ctl_burn_svg(root, &out);
	assert_non_null(strstr(out.data, "shop: fast"));
	/* 2,000 calls with an objective of 99 % allow 20 bad ones; 3 are used. */
	assert_non_null(strstr(out.data, "85.0% left"));
	assert_non_null(strstr(out.data, "a&lt;b"));
	assert_non_null(strstr(out.data, "</svg>\n"));
	str_buf_clear(&out);
	ctl_burn_table(root, false, &out);
	assert_non_null(strstr(out.data, "70.0%"));
	assert_non_null(strstr(out.data, "99.00%"));
	json_object_put(root);
	str_buf_free(&out);
}

static void
tokens_are_found_by_team(void **state ATTR_UNUSED)
{
	char *path = write_file(
	    "# demo\n\nbootstrap b\nred  r-token\n blue\tb-token \n");
	struct ctl_settings settings = {
	    .token_file = path, .token = (char *)"all"};
	struct ctl_tokens tokens;
	char *token;

	assert_int_equal(ctl_tokens_read(&settings, &tokens), STATUS_OK);
	token = ctl_tokens_find(&tokens, str_from("blue"));
	assert_string_equal(token, "b-token");
	mem_free(token);
	token = ctl_tokens_find(&tokens, str_from("green"));
	assert_string_equal(token, "all");
	mem_free(token);
	token = ctl_tokens_find(&tokens, str_from(""));
	assert_string_equal(token, "r-token");
	mem_free(token);
	ctl_tokens_free(&tokens);
	remove(path);
	mem_free(path);
}

static void
http_statuses_map_to_exit_codes(void **state ATTR_UNUSED)
{
	struct str_buf out = {0};

	assert_int_equal(ctl_client_status_from_http(202), STATUS_OK);
	assert_int_equal(ctl_client_status_from_http(403), STATUS_DENIED);
	assert_int_equal(ctl_client_status_from_http(409), STATUS_CONFLICT);
	assert_int_equal(ctl_client_status_from_http(422), STATUS_INVALID);
	assert_int_equal(ctl_client_status_from_http(503), STATUS_UNAVAILABLE);
	assert_int_equal(ctl_exit_code(STATUS_CONFLICT), 1);
	assert_int_equal(ctl_exit_code(STATUS_DENIED), 77);
	assert_int_equal(ctl_exit_code(STATUS_UNAVAILABLE), 69);
	ctl_client_append_detail(
	    str_from("{\"detail\":\"made from revision 3\"}"), &out);
	assert_string_equal(out.data, "made from revision 3");
	str_buf_clear(&out);
	ctl_client_append_detail(str_from("plain\n"), &out);
	assert_string_equal(out.data, "plain");
	str_buf_clear(&out);
	ctl_client_append_escaped(str_from("a b/c"), &out);
	assert_string_equal(out.data, "a%20b%2Fc");
	ctl_client_append_escaped(str_of(NULL, 0), &out);
	ctl_client_append_escaped(str_of("rest", 0), &out);
	assert_string_equal(out.data, "a%20b%2Fc");
	str_buf_free(&out);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(check_returns_exit_codes),
	    cmocka_unit_test(commands_check_their_arguments),
	    cmocka_unit_test(document_page_lists_all_fields),
	    cmocka_unit_test(table_columns_align),
	    cmocka_unit_test(json_renders_as_text),
	    cmocka_unit_test(rows_without_scalars_render_as_json),
	    cmocka_unit_test(diff_reports_missing_section),
	    cmocka_unit_test(status_renders_as_tables),
	    cmocka_unit_test(burn_report_renders_as_svg_and_table),
	    cmocka_unit_test(tokens_are_found_by_team),
	    cmocka_unit_test(http_statuses_map_to_exit_codes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
