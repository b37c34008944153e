#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/memory.h"
#include "control/control_internal.h"
#include "control/control_json.h"

/*
 * Finds the team of an edit's token.  The bootstrap token is accepted here at
 * any time: the document itself denies it once it has a section, except for a
 * resend of the first edit.
 */
static bool
find_edit_team(struct control *control, const struct job *job, struct str *team)
{
	struct str token = str_from(job->token);

	if (token.len == 0)
		return false;
	if (document_find_team_by_token(control->machine.document, token, team))
		return true;
	if (control->settings.bootstrap_token == NULL ||
	    !str_equal_c(token, control->settings.bootstrap_token))
		return false;
	*team = STR_LITERAL(DOCUMENT_BOOTSTRAP_TEAM);
	return true;
}

/* Returns the section of a target's service; NULL if there is none. */
static const struct policy_section *
service_section(const struct policy *policy, const char *target,
    const struct registry *registry)
{
	const struct registry_target *found =
	    registry_find(registry, str_from(target));

	if (found == NULL)
		return NULL;
	return policy_find_service_by_name(policy, found->service);
}

/*
 * Returns whether a team owns a section; false if section is NULL.
 */
static bool
team_owns(struct str team, const struct policy_section *section)
{
	return section != NULL && str_equal(team, section->team);
}

/*
 * Returns whether the job's token authorizes fleet operations: its team owns
 * the fleet section or, for a target, the section of the target's service.
 */
static bool
is_authorized(
    struct control *control, const struct job *job, const char *target)
{
	struct policy *policy = document_policy(control->machine.document);
	bool allowed = false;
	struct str team;

	if (!document_find_team_by_token(
		control->machine.document, str_from(job->token), &team)) {
		policy_put(policy);
		return false;
	}
	for (uint32_t i = 0; i < policy->section_count; i++) {
		const struct policy_section *section = policy->sections[i];

		if (section->kind == POLICY_FLEET && team_owns(team, section))
			allowed = true;
	}
	if (target != NULL &&
	    team_owns(team,
		service_section(policy, target, control->machine.registry)))
		allowed = true;
	policy_put(policy);
	return allowed;
}

/*
 * Maps a status code to an HTTP status; 503, which invites a retry, for codes
 * without one of their own.
 */
static int
http_status_from(enum status status)
{
	switch (status) {
	case STATUS_OK:
		return 200;
	case STATUS_INVALID:
		return 422;
	case STATUS_CONFLICT:
		return 409;
	case STATUS_DENIED:
		return 403;
	case STATUS_NOT_FOUND:
		return 404;
	default:
		return 503;
	}
}

/*
 * Ends a job whose command or change the replica has not accepted; the status
 * message holds the reason.  After a storage error part of it may be in the
 * log, and the replica may find it there after a restart.
 */
static void
finish_refused(struct control *control, struct job *job, enum status status)
{
	if (status == STATUS_UNAVAILABLE)
		control_jobs_not_leader(control, job);
	else if (status == STATUS_IO)
		control_jobs_unknown(job);
	else
		job_finish_with_problem(job, http_status_from(status),
		    status_name(status), "%s", status_message());
}

/*
 * Proposes a command whose result answers the job.
 */
static void
propose_for_job(
    struct control *control, struct job *job, Wire__Command *command)
{
	struct pending_command waiter = {.job = job};
	enum status status;

	job_get(job);
	status = control_propose(control, command, &waiter);
	if (status == STATUS_OK)
		return;
	job_put(job);
	finish_refused(control, job, status);
}

/*
 * Proposes an edit or a removal of a section; the state machine checks it
 * against the document when it is applied.  Answers 403 at once if no team has
 * the token.
 */
void
control_run_edit(struct control *control, struct job *job)
{
	Wire__EditSection edit = WIRE__EDIT_SECTION__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	struct str team;

	if (!find_edit_team(control, job, &team)) {
		job_finish_with_problem(job, 403, "denied",
		    "the token belongs to no team of the document");
		return;
	}
	edit.section = job->name;
	edit.base_revision = job->revision;
	edit.edit_id = job->edit_id;
	edit.team = str_dup(team);
	edit.author = job->author;
	edit.text.data = (uint8_t *)job->text.data;
	edit.text.len = job->text.len;
	edit.remove = job->kind == JOB_REMOVE;
	command.body_case = WIRE__COMMAND__BODY_EDIT;
	command.edit = &edit;
	propose_for_job(control, job, &command);
	mem_free(edit.team);
}

/*
 * Answers a job with the result of its command: the log index and, for an edit,
 * the new revision, also as ETag; on an error, the problem.
 */
void
control_jobs_result(struct job *job, const Wire__Result *result)
{
	enum status status = (enum status)result->status;
	struct json_object *root;

	if (status != STATUS_OK) {
		job_finish_with_problem(job, http_status_from(status),
		    status_name(status), "%s", result->message);
		return;
	}
	root = json_object_new_object();
	control_json_add_u64(root, "index", result->index);
	if (result->detail_case == WIRE__RESULT__DETAIL_EDIT) {
		job->etag = result->edit->revision;
		control_json_add_u64(root, "revision", result->edit->revision);
		control_json_add_bool(root, "resend", result->edit->resend);
	}
	control_json_finish(job, 200, root);
}

/*
 * Proposes that a target is drained.  Answers 403 without the owner's token and
 * 404 for an unknown target.
 */
void
control_run_drain(struct control *control, struct job *job)
{
	const struct registry_target *from =
	    registry_find(control->machine.registry, str_from(job->name));
	Wire__TargetPut put = WIRE__TARGET_PUT__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__Target *target;

	if (!is_authorized(control, job, job->name)) {
		job_finish_with_problem(job, 403, "denied",
		    "draining needs the token of the team that owns the "
		    "fleet section or the target's service");
		return;
	}
	if (from == NULL) {
		job_finish_with_problem(
		    job, 404, "not-found", "no target \"%s\"", job->name);
		return;
	}
	target = control_target_message(from);
	target->state = WIRE__TARGET_STATE__TARGET_DRAINING;
	put.target = target;
	command.body_case = WIRE__COMMAND__BODY_TARGET_PUT;
	command.target_put = &put;
	propose_for_job(control, job, &command);
	wire__target__free_unpacked(target, NULL);
}

/*
 * Starts adding, promoting or removing a replica.  Answers 202 once the change
 * is in the log, which does not mean that it is committed.
 */
void
control_run_member_change(struct control *control, struct job *job)
{
	struct replica_member member = {.id = job->revision};
	enum status status;
	uint64_t index = 0;

	if (!is_authorized(control, job, NULL)) {
		job_finish_with_problem(job, 403, "denied",
		    "members are changed with the token of the team that owns "
		    "the fleet section");
		return;
	}
	if (job->kind == JOB_MEMBER_ADD) {
		snprintf(member.address, sizeof(member.address), "%s",
		    job->address != NULL ? job->address : "");
		status = replica_add_learner(control->replica, &member, &index);
	} else if (job->kind == JOB_MEMBER_PROMOTE) {
		status =
		    replica_promote(control->replica, job->revision, &index);
	} else {
		status =
		    replica_remove(control->replica, job->revision, &index);
	}
	if (status != STATUS_OK) {
		finish_refused(control, job, status);
		return;
	}
	/* The change takes effect once committed; /members shows it. */
	str_buf_printf(
	    &job->body, "{\"index\":%llu}", (unsigned long long)index);
	job_finish(job, 202, "application/json");
}
