#include "ctl/ctl_apply.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "ctl/ctl_file.h"
#include "ctl/ctl_remote.h"
#include "ctl/ctl_results.h"
#include "ctl/ctl_token.h"
#include "document/document.h"
#include "document/document_diff.h"
#include "document/policy_raw.h"

enum {
	EDIT_ID_RANDOM_BYTES = 12,
	EDIT_ID_BYTES = 49, /* with NUL, without the section's suffix */
	DIFF_MAX_BYTES = 1 << 20
};

/* State of one apply or delete command. */
struct apply {
	struct ctl *ctl;
	struct ctl_tokens tokens;
	struct ctl_file base_file; /* content of --base FILE */
	bool document_empty; /* no section accepted yet */
	char edit_id[EDIT_ID_BYTES];
	struct ctl_results results;
	int exit_code;
};

/* An edit of one section, before it is sent. */
struct change {
	struct str name;
	struct str team;
	struct str text;
	bool remove;
	uint64_t base_revision;
};

/*
 * Records that a section was not accepted and, unless the output is JSON,
 * prints the reason to standard error.  The first failure sets the exit code.
 */
static void
record_failure(struct apply *apply, struct str name, enum status status,
    const char *message)
{
	ctl_results_add(
	    &apply->results, name, status_name(status), 0, false, message);
	if (!apply->ctl->json)
		fprintf(stderr, "gypsummillctl: section %.*s: %s: %s\n",
		    STR_ARG(name), status_name(status), message);
	if (apply->exit_code == 0)
		apply->exit_code = ctl_exit_code(status);
}

/*
 * Compares the section in --base FILE with the current one, ignoring white
 * space at both ends.  If they are equal, sets *base_revision to the current
 * revision; otherwise STATUS_CONFLICT with a diff as message.  A resend is
 * sent even so, with base revision 0: control recognizes its edit ID or
 * reports the conflict.
 */
static enum status
check_base_file(struct apply *apply, struct str name,
    const struct ctl_remote *remote, uint64_t *base_revision)
{
	const struct ctl_section *section =
	    ctl_file_find_section(&apply->base_file, name);
	struct str_buf diff = {0};

	*base_revision = remote->revision;
	if (section != NULL &&
	    str_equal(
		str_trim(section->text), str_trim(str_buf_view(&remote->text))))
		return STATUS_OK;
	*base_revision = 0;
	if (apply->ctl->settings->edit_id != NULL)
		return STATUS_OK;
	document_diff(section != NULL ? section->text : str_of("", 0),
	    str_buf_view(&remote->text), 0, DIFF_MAX_BYTES, &diff);
	status_set(STATUS_CONFLICT,
	    "the current text differs from that of the base file:\n"
	    "%.*s",
	    STR_ARG(str_buf_view(&diff)));
	str_buf_free(&diff);
	return STATUS_CONFLICT;
}

/*
 * Sets *base_revision to the revision that the change is based on.  For an
 * existing section, --base is required, so that an edit can't overwrite a
 * revision its author has not seen; without it, STATUS_INVALID and exit code
 * CTL_EXIT_USAGE.
 */
static enum status
choose_base_revision(struct apply *apply, struct str name,
    const struct ctl_remote *remote, uint64_t *base_revision)
{
	const char *base_option = apply->ctl->settings->base;

	*base_revision = remote->revision;
	if (base_option == NULL && remote->revision == 0)
		return STATUS_OK;
	if (base_option == NULL && apply->exit_code == 0)
		apply->exit_code = CTL_EXIT_USAGE;
	if (base_option == NULL)
		return status_set(STATUS_INVALID,
		    "the section exists at revision %llu; specify the base of "
		    "the change with --base REVISION, --base FILE or "
		    "--base current",
		    (unsigned long long)remote->revision);
	if (strcmp(base_option, "current") == 0)
		return STATUS_OK;
	if (str_to_u64(str_from(base_option), base_revision))
		return STATUS_OK;
	if (remote->revision == 0)
		return STATUS_OK;
	return check_base_file(apply, name, remote, base_revision);
}

/*
 * Returns the token of the team, freed with ctl_token_free(); NULL if there is
 * none.  While the document is empty, returns the bootstrap token, with which
 * the first fleet section is written.
 */
static char *
find_token(const struct apply *apply, struct str team)
{
	struct str owner =
	    apply->document_empty ? STR_LITERAL(DOCUMENT_BOOTSTRAP_TEAM) : team;

	return ctl_tokens_find(&apply->tokens, owner);
}

/*
 * Sends one edit and records its outcome.  The token is cleared from memory
 * after use.
 */
static void
send_change(struct apply *apply, const struct change *change)
{
	struct str_buf path = {0};
	struct str_buf edit_id = {0};
	struct ctl_reply reply = {0};
	char *token = find_token(apply, change->team);
	struct ctl_request request = {
	    .method = change->remove ? "DELETE" : "PUT",
	    .body = change->text,
	    .token = token,
	    .author = apply->ctl->settings->author,
	    .base_revision = change->base_revision,
	};
	enum status status;

	str_buf_append_c(&path, "/document/sections/");
	ctl_client_append_escaped(change->name, &path);
	/* Same for a resend; differs between the sections of a run. */
	str_buf_printf(&edit_id, "%s-%llx", apply->edit_id,
	    (unsigned long long)(str_hash(change->name) & 0xffffffff));
	request.path = str_buf_view(&path);
	request.edit_id = edit_id.data;
	status = ctl_client_send(apply->ctl->client, &request, &reply);
	if (status == STATUS_OK) {
		ctl_results_add_accepted(
		    &apply->results, change->name, change->remove, &reply);
		apply->document_empty = false;
	} else {
		struct str_buf detail = {0};

		if (status == STATUS_UNAVAILABLE)
			str_buf_printf(&detail,
			    "%s; the edit may have been accepted; "
			    "resend it with --edit-id %s",
			    status_message(), apply->edit_id);
		else
			ctl_client_append_detail(
			    str_buf_view(&reply.body), &detail);
		record_failure(apply, change->name, status,
		    detail.len > 0 ? detail.data : status_message());
		str_buf_free(&detail);
	}
	ctl_token_free(token);
	ctl_reply_free(&reply);
	str_buf_free(&path);
	str_buf_free(&edit_id);
}

/*
 * Sends a section of the file unless the current text is the same.  A resend
 * is always sent, as control may have recorded its edit ID.
 */
static void
apply_section(struct apply *apply, const struct ctl_section *section)
{
	struct change change = {
	    .name = section->parsed->name,
	    .team = section->parsed->team,
	    .text = section->text,
	};
	struct ctl_remote remote;
	enum status status =
	    ctl_remote_get_section(apply->ctl, change.name, 0, &remote);
	bool resending = apply->ctl->settings->edit_id != NULL;

	if (status != STATUS_OK) {
		record_failure(apply, change.name, status, status_message());
		return;
	}
	if (!resending && remote.revision != 0 &&
	    str_equal(str_buf_view(&remote.text), change.text)) {
		ctl_results_add(&apply->results, change.name, "unchanged",
		    remote.revision, false, NULL);
		ctl_remote_free(&remote);
		return;
	}
	status = choose_base_revision(
	    apply, change.name, &remote, &change.base_revision);
	if (status != STATUS_OK)
		record_failure(apply, change.name, status, status_message());
	else
		send_change(apply, &change);
	ctl_remote_free(&remote);
}

/*
 * Prints the results and, with --wait in-force, waits until the last accepted
 * edit is in force.
 */
static void
finish_run(struct apply *apply)
{
	const char *wait = apply->ctl->settings->wait;
	uint64_t elapsed_us;

	ctl_results_print(&apply->results, apply->ctl);
	if (apply->results.last_revision == 0 || strcmp(wait, "in-force") != 0)
		return;
	if (ctl_results_wait_in_force(
		&apply->results, apply->ctl, &elapsed_us) != STATUS_OK) {
		int exit_code = ctl_print_error(STATUS_UNAVAILABLE);

		apply->exit_code =
		    apply->exit_code != 0 ? apply->exit_code : exit_code;
		return;
	}
	fprintf(stderr,
	    "in force everywhere %llu ms after revision %llu was accepted\n",
	    (unsigned long long)(elapsed_us / US_PER_MS),
	    (unsigned long long)apply->results.last_revision);
}

/* Returns whether --base is a file, that is, neither "current" nor a number. */
static bool
base_is_file(const char *base)
{
	uint64_t revision;

	return base != NULL && strcmp(base, "current") != 0 &&
	    !str_to_u64(str_from(base), &revision);
}

/*
 * Fetches the document to see whether it is still empty, in which case the
 * first edit needs the bootstrap token.
 */
static enum status
fetch_document_empty(struct apply *apply)
{
	struct ctl_reply reply = {0};
	enum status status = ctl_remote_get(apply->ctl, "/document", &reply);

	apply->document_empty = reply.body.len == 0;
	ctl_reply_free(&reply);
	return status;
}

/*
 * Reads the tokens and --base FILE and sets the edit ID: that of --edit-id or
 * a random one.  end_run() frees the state, also after an error.
 */
static enum status
begin_run(struct ctl *ctl, struct apply *apply)
{
	unsigned char random[EDIT_ID_RANDOM_BYTES];
	enum status status;

	*apply = (struct apply){.ctl = ctl};
	status = ctl_tokens_read(ctl->settings, &apply->tokens);
	if (status == STATUS_OK && base_is_file(ctl->settings->base))
		status = ctl_file_read(ctl->settings->base, &apply->base_file);
	if (status == STATUS_OK)
		status = fetch_document_empty(apply);
	if (status != STATUS_OK)
		return status;
	if (sodium_init() < 0)
		return status_set(STATUS_IO, "can't initialize libsodium");
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(
	    apply->edit_id, sizeof(apply->edit_id), random, sizeof(random));
	if (ctl->settings->edit_id != NULL &&
	    strlen(ctl->settings->edit_id) >= sizeof(apply->edit_id))
		return status_set(STATUS_INVALID,
		    "--edit-id: found %zu bytes; allowed: at most %zu",
		    strlen(ctl->settings->edit_id), sizeof(apply->edit_id) - 1);
	if (ctl->settings->edit_id != NULL)
		snprintf(apply->edit_id, sizeof(apply->edit_id), "%s",
		    ctl->settings->edit_id);
	apply->results.list = json_object_new_array();
	return STATUS_OK;
}

/* Prints the message of an error, frees the state and returns the exit code. */
static int
end_run(struct apply *apply, enum status status)
{
	int exit_code =
	    status == STATUS_OK ? apply->exit_code : ctl_print_error(status);

	ctl_tokens_free(&apply->tokens);
	ctl_file_free(&apply->base_file);
	json_object_put(apply->results.list);
	return exit_code;
}

/*
 * Sends the sections of the file, or only that of --section, and stops at the
 * first failure.  STATUS_NOT_FOUND if the file has no such section.
 */
static enum status
apply_file(struct apply *apply, struct ctl_file *file)
{
	const char *section_name = apply->ctl->settings->section;
	enum status status = ctl_file_require_section(file, section_name);

	if (status != STATUS_OK)
		return status;
	ctl_file_sort(file);
	for (uint32_t i = 0; i < file->count && apply->exit_code == 0; i++) {
		if (section_name == NULL ||
		    str_equal_c(file->sections[i].parsed->name, section_name))
			apply_section(apply, &file->sections[i]);
	}
	finish_run(apply);
	return STATUS_OK;
}

/*
 * apply FILE: sends the sections that differ, fleet first.  Stops at the first
 * failure; sections accepted before it stay accepted.
 */
int
ctl_apply(struct ctl *ctl, char *const *arguments)
{
	struct ctl_file file;
	struct apply apply = {0};
	enum status status = ctl_file_read(arguments[0], &file);
	int exit_code;

	if (file.errors.len > 0)
		fputs(file.errors.data, stderr);
	if (status == STATUS_OK)
		status = begin_run(ctl, &apply);
	if (status == STATUS_OK)
		status = apply_file(&apply, &file);
	exit_code = end_run(&apply, status);
	ctl_file_free(&file);
	return exit_code;
}

/*
 * Returns the team of a section's text, to select the token; empty if the text
 * can't be parsed.  Borrowed from *section, which is released with
 * policy_section_put().
 */
static struct str
parse_team(const struct ctl_remote *remote, struct policy_section **section)
{
	if (policy_section_parse(str_buf_view(&remote->text), remote->revision,
		section) != STATUS_OK) {
		*section = NULL;
		return str_of("", 0);
	}
	return (*section)->team;
}

/*
 * Sends the removal with the token of the team that owns the section.  A
 * resend is sent even if the section no longer exists.
 */
static enum status
delete_section(struct apply *apply, struct str name)
{
	struct change change = {.name = name, .remove = true};
	struct policy_section *section = NULL;
	struct ctl_remote remote;
	enum status status =
	    ctl_remote_get_section(apply->ctl, name, 0, &remote);

	if (status != STATUS_OK)
		return status;
	if (remote.revision == 0 && apply->ctl->settings->edit_id == NULL)
		status = status_set(STATUS_NOT_FOUND,
		    "the document has no section %.*s", STR_ARG(name));
	if (status == STATUS_OK)
		status = choose_base_revision(
		    apply, name, &remote, &change.base_revision);
	if (status == STATUS_OK) {
		change.team = parse_team(&remote, &section);
		send_change(apply, &change);
		finish_run(apply);
		policy_section_put(section);
	}
	ctl_remote_free(&remote);
	return status;
}

/*
 * delete SECTION: removes a section from the document.
 */
int
ctl_delete(struct ctl *ctl, char *const *arguments)
{
	struct apply apply = {0};
	enum status status = begin_run(ctl, &apply);

	if (status == STATUS_OK)
		status = delete_section(&apply, str_from(arguments[0]));
	return end_run(&apply, status);
}
