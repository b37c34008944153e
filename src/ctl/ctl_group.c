#include "ctl/ctl_group.h"

#include <string.h>

#include "base/clock.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_json.h"
#include "ctl/ctl_remote.h"
#include "ctl/ctl_table.h"
#include "ctl/ctl_token.h"
#include "link/transport.h"

enum {
	CELL_BYTES = 32
};

/* Prints a reply as JSON or text; a body that is not JSON unchanged. */
static void
print_reply(struct ctl *ctl, struct str body)
{
	struct json_object *root;
	struct str_buf out = {0};

	if (ctl_json_parse(body, &root) != STATUS_OK) {
		fprintf(ctl->out, "%.*s\n", STR_ARG(body));
		return;
	}
	if (ctl->json)
		ctl_json_append_pretty(root, &out);
	else
		ctl_json_append_text(root, ctl->colour, &out);
	fwrite(str_buf_view(&out).data, 1, out.len, ctl->out);
	str_buf_free(&out);
	json_object_put(root);
}

/* Appends role, term, log position and claims of the control instance. */
static void
render_instance(struct json_object *status, struct str_buf *out)
{
	struct str role = ctl_json_get_string(status, "role");
	struct str leader = ctl_json_get_string(status, "leader");
	struct json_object *claims = json_object_object_get(status, "claims");

	str_buf_printf(out, "control %.*s is %.*s in term %llu; leader: %.*s\n",
	    STR_ARG(ctl_json_get_string(status, "instance")), STR_ARG(role),
	    (unsigned long long)ctl_json_get_u64(status, "term"),
	    STR_ARG(leader));
	str_buf_printf(out, "log: committed %llu, applied %llu\n",
	    (unsigned long long)ctl_json_get_u64(status, "commit_index"),
	    (unsigned long long)ctl_json_get_u64(status, "applied_index"));
	if (claims != NULL)
		str_buf_printf(out, "claims: %llu in %llu bytes\n",
		    (unsigned long long)ctl_json_get_u64(claims, "count"),
		    (unsigned long long)ctl_json_get_u64(claims, "bytes"));
}

/* Appends the members; leader is the leader's ID, 0 if there is none. */
static void
render_members(struct json_object *members, uint64_t leader, bool colour,
    struct str_buf *out)
{
	struct ctl_table *table = ctl_table_new("member|address|role", colour);

	for (size_t i = 0; i < json_object_array_length(members); i++) {
		struct json_object *member =
		    json_object_array_get_idx(members, i);
		const char *role =
		    ctl_json_get_bool(member, "voter") ? "voter" : "learner";

		if (ctl_json_get_u64(member, "id") == leader)
			role = "leader";
		ctl_table_add_cell(table, ctl_json_get_string(member, "id"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(member, "address"));
		ctl_table_add_cell(table, str_from(role));
	}
	ctl_table_render(table, out);
	ctl_table_free(table);
}

/*
 * Returns an entry's state: "expired" (lease), "leaving", "behind" (has not
 * applied commit_index) or "ready".
 */
static const char *
entry_state(struct json_object *entry, uint64_t commit_index)
{
	if (ctl_json_get_u64(entry, "lease_left_ms") == 0)
		return "expired";
	if (ctl_json_get_bool(entry, "leaving"))
		return "leaving";
	if (ctl_json_get_u64(entry, "applied_index") < commit_index)
		return "behind";
	return "ready";
}

/* Appends the entries; one that has not applied view_index is behind. */
static void
render_entries(struct json_object *entries, uint64_t view_index, bool colour,
    struct str_buf *out)
{
	struct ctl_table *table = ctl_table_new(
	    "entry|address|domain|state|applied|lease ms|spare", colour);

	for (size_t i = 0; i < json_object_array_length(entries); i++) {
		struct json_object *entry =
		    json_object_array_get_idx(entries, i);
		char spare_text[CELL_BYTES];

		snprintf(spare_text, sizeof(spare_text), "%llu/8",
		    (unsigned long long)ctl_json_get_u64(
			entry, "spare_eighths"));
		ctl_table_add_cell(table, ctl_json_get_string(entry, "name"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(entry, "address"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(entry, "failure_domain"));
		ctl_table_add_cell(
		    table, str_from(entry_state(entry, view_index)));
		ctl_table_add_cell(
		    table, ctl_json_get_string(entry, "applied_index"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(entry, "lease_left_ms"));
		ctl_table_add_cell(table, str_from(spare_text));
	}
	ctl_table_render(table, out);
	ctl_table_free(table);
}

/* Appends the targets. */
static void
render_targets(struct json_object *targets, bool colour, struct str_buf *out)
{
	struct ctl_table *table = ctl_table_new(
	    "target|service|address|domain|state|slots|entry", colour);

	for (size_t i = 0; i < json_object_array_length(targets); i++) {
		struct json_object *target =
		    json_object_array_get_idx(targets, i);

		ctl_table_add_cell(table, ctl_json_get_string(target, "id"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(target, "service"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(target, "address"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(target, "failure_domain"));
		ctl_table_add_cell(table, ctl_json_get_string(target, "state"));
		ctl_table_add_cell(table, ctl_json_get_string(target, "slots"));
		ctl_table_add_cell(
		    table, ctl_json_get_string(target, "holder"));
	}
	ctl_table_render(table, out);
	ctl_table_free(table);
}

/*
 * Appends a control instance's status as text, followed by tables of members,
 * entries and targets.  Empty tables of entries and targets are omitted.
 */
void
ctl_status_render(struct json_object *status, bool colour, struct str_buf *out)
{
	struct json_object *members = ctl_json_get_array(status, "members");
	struct json_object *entries = ctl_json_get_array(status, "entries");
	struct json_object *targets = ctl_json_get_array(status, "targets");

	render_instance(status, out);
	if (members != NULL) {
		str_buf_append_c(out, "\n");
		render_members(
		    members, ctl_json_get_u64(status, "leader"), colour, out);
	}
	if (entries != NULL && json_object_array_length(entries) > 0) {
		str_buf_append_c(out, "\n");
		render_entries(entries, ctl_json_get_u64(status, "view_index"),
		    colour, out);
	}
	if (targets != NULL && json_object_array_length(targets) > 0) {
		str_buf_append_c(out, "\n");
		render_targets(targets, colour, out);
	}
}

/*
 * Fetches the status of the leader, which is the most complete, as /status is
 * answered by any instance for itself.  *root is released with
 * json_object_put().
 */
static enum status
fetch_leader_status(struct ctl *ctl, struct json_object **root)
{
	struct ctl_reply reply = {0};
	enum status status = ctl_remote_get(ctl, "/members", &reply);

	/* Only the leader answers /members; the client now sends to it. */
	(void)status;
	ctl_reply_free(&reply);
	status = ctl_remote_get(ctl, "/status", &reply);
	if (status == STATUS_OK)
		status = ctl_json_parse(str_buf_view(&reply.body), root);
	ctl_reply_free(&reply);
	return status;
}

/* Prints the status once; with --watch and colour, clears the screen first. */
static enum status
print_status(struct ctl *ctl)
{
	struct json_object *root;
	struct str_buf out = {0};
	enum status status = fetch_leader_status(ctl, &root);

	if (status != STATUS_OK)
		return status;
	if (ctl->json)
		ctl_json_append_pretty(root, &out);
	else
		ctl_status_render(root, ctl->colour, &out);
	if (ctl->settings->watch_s > 0 && ctl->colour)
		fputs("\033[H\033[2J", ctl->out);
	fwrite(out.data, 1, out.len, ctl->out);
	fflush(ctl->out);
	str_buf_free(&out);
	json_object_put(root);
	return STATUS_OK;
}

/*
 * status: prints the leader, members, entries and targets; with --watch,
 * repeats until a request fails.
 */
int
ctl_status(struct ctl *ctl, char *const *arguments ATTR_UNUSED)
{
	enum status status = print_status(ctl);

	while (status == STATUS_OK && ctl->settings->watch_s > 0) {
		clock_sleep_us(ctl->settings->watch_s * US_PER_S);
		status = print_status(ctl);
	}
	return status == STATUS_OK ? CTL_EXIT_OK : ctl_print_error(status);
}

/*
 * Sends a GET for prefix and the escaped argument, which may be NULL, and
 * prints the reply; returns the exit code.
 */
static int
get_and_print(struct ctl *ctl, const char *prefix, const char *argument)
{
	struct str_buf path = {0};
	struct ctl_reply reply = {0};
	enum status status;

	str_buf_append_c(&path, prefix);
	if (argument != NULL)
		ctl_client_append_escaped(str_from(argument), &path);
	status = ctl_remote_get(ctl, path.data, &reply);
	if (status == STATUS_OK)
		print_reply(ctl, str_buf_view(&reply.body));
	str_buf_free(&path);
	ctl_reply_free(&reply);
	return status == STATUS_OK ? CTL_EXIT_OK : ctl_print_error(status);
}

/*
 * explain ID: prints why a call was refused, with the section's text at that
 * time.
 */
int
ctl_explain(struct ctl *ctl, char *const *arguments)
{
	return get_and_print(ctl, "/explain/", arguments[0]);
}

/*
 * members: lists the control group.
 */
int
ctl_members(struct ctl *ctl, char *const *arguments ATTR_UNUSED)
{
	return get_and_print(ctl, "/members", NULL);
}

/*
 * Sends a request that changes the system, with the token that
 * ctl_tokens_find() selects for any team, and prints the reply; returns the
 * exit code.
 */
static int
send_and_print(struct ctl *ctl, const char *method, const struct str_buf *path)
{
	struct ctl_tokens tokens;
	struct ctl_reply reply = {0};
	struct ctl_request request = {
	    .method = method,
	    .path = str_buf_view(path),
	};
	enum status status = ctl_tokens_read(ctl->settings, &tokens);
	char *token;

	if (status != STATUS_OK) {
		ctl_tokens_free(&tokens);
		return ctl_print_error(status);
	}
	token = ctl_tokens_find(&tokens, str_of("", 0));
	request.token = token;
	status = ctl_client_send(ctl->client, &request, &reply);
	if (status == STATUS_OK)
		print_reply(ctl, str_buf_view(&reply.body));
	ctl_token_free(token);
	ctl_tokens_free(&tokens);
	ctl_reply_free(&reply);
	return status == STATUS_OK ? CTL_EXIT_OK : ctl_print_error(status);
}

/*
 * drain TARGET: stops new work from being sent to the target.
 */
int
ctl_drain(struct ctl *ctl, char *const *arguments)
{
	struct str_buf path = {0};
	int exit_code;

	str_buf_append_c(&path, "/targets/");
	ctl_client_append_escaped(str_from(arguments[0]), &path);
	str_buf_append_c(&path, "/drain");
	exit_code = send_and_print(ctl, "POST", &path);
	str_buf_free(&path);
	return exit_code;
}

/*
 * Sends a request for the group member id; address may be NULL.  Returns the
 * exit code.
 */
static int
change_member(struct ctl *ctl, const char *method, const char *id,
    const char *suffix, const char *address)
{
	struct str_buf path = {0};
	int exit_code;

	str_buf_append_c(&path, "/members/");
	ctl_client_append_escaped(str_from(id), &path);
	str_buf_append_c(&path, suffix);
	if (address != NULL) {
		str_buf_append_c(&path, "?address=");
		ctl_client_append_escaped(str_from(address), &path);
	}
	exit_code = send_and_print(ctl, method, &path);
	str_buf_free(&path);
	return exit_code;
}

/*
 * add-learner ID ADDRESS: adds a replica that copies the state and has no vote.
 */
int
ctl_add_learner(struct ctl *ctl, char *const *arguments)
{
	return change_member(ctl, "POST", arguments[0], "", arguments[1]);
}

/*
 * promote ID: makes a learner that has caught up a voter.
 */
int
ctl_promote(struct ctl *ctl, char *const *arguments)
{
	return change_member(ctl, "POST", arguments[0], "/promote", NULL);
}

/*
 * remove ID: removes a replica from the group permanently.
 */
int
ctl_remove(struct ctl *ctl, char *const *arguments)
{
	return change_member(ctl, "DELETE", arguments[0], "", NULL);
}

/*
 * keys [FOLDER] NAME: creates the key files NAME.public and NAME.secret in the
 * folder, by default that of --keys.
 */
int
ctl_keys(struct ctl *ctl, char *const *arguments)
{
	bool has_folder = arguments[1] != NULL;
	const char *folder = has_folder ? arguments[0] : ctl->settings->keys;
	const char *name = has_folder ? arguments[1] : arguments[0];

	if (folder == NULL) {
		fprintf(
		    stderr, "gypsummillctl: keys: --keys FOLDER is not set\n");
		return CTL_EXIT_USAGE;
	}
	if (transport_keys_make(folder, name) != STATUS_OK) {
		ctl_print_error(STATUS_IO);
		return CTL_EXIT_CANT_CREATE;
	}
	fprintf(ctl->out, "%s/%s.public\n%s/%s.secret\n", folder, name, folder,
	    name);
	return CTL_EXIT_OK;
}
