#include "control/control_internal.h"
#include "control/control_json.h"

/*
 * Answers 503 with Retry-After.
 */
void
control_jobs_stopping(struct job *job)
{
	job->retry_after_s = CONTROL_RETRY_AFTER_S;
	job_finish_with_problem(job, 503, "stopping",
	    "this instance is stopping and has not run the request");
}

/*
 * Answers 504, as for a command without a result in time.
 */
void
control_jobs_unknown(struct job *job)
{
	job_finish_with_problem(job, 504, "unknown",
	    "this instance is stopping: the change may or may not be "
	    "accepted; resend an edit with the same edit id");
}

/*
 * Answers 504: the next leader may still commit the command, unless it has
 * replaced it.
 */
void
control_jobs_leader_lost(struct job *job)
{
	job_finish_with_problem(job, 504, "leader-lost",
	    "this instance lost the lead: the change may or may not be "
	    "accepted; resend an edit with the same edit id");
}

/*
 * Answers 503 with the leader's link address, which is empty if unknown.  An
 * instance that leads without a leader lease names no leader: the others may
 * have another one.
 */
void
control_jobs_not_leader(struct control *control, struct job *job)
{
	if (control->info.role == REPLICA_LEADER)
		job_finish_with_problem(job, 503, "not-leader",
		    "instance %s has no majority now and has not run the "
		    "request; no other leader is known",
		    control->settings.instance);
	else
		job_finish_with_problem(job, 503, "not-leader",
		    "instance %s does not lead; the leader's link address is "
		    "\"%s\"",
		    control->settings.instance,
		    control_leader_address(control));
}

/*
 * Runs a job on the loop's thread.  Status and readiness are those of this
 * instance; all other jobs are run only by a leader with a valid leader lease,
 * so that no stale state is read.
 */
void
control_jobs_run(struct control *control, struct job *job, uint64_t now_us)
{
	if (job->kind == JOB_STATUS) {
		control_run_status(control, job, now_us);
		return;
	}
	if (job->kind == JOB_READY) {
		control_run_ready(control, job, now_us);
		return;
	}
	if (!control_holds_leader_lease(control, now_us)) {
		control_jobs_not_leader(control, job);
		return;
	}
	switch (job->kind) {
	case JOB_DOCUMENT:
		control_run_document(control, job);
		break;
	case JOB_SECTIONS:
		control_run_sections(control, job);
		break;
	case JOB_SECTION:
		control_run_section(control, job);
		break;
	case JOB_EDIT:
	case JOB_REMOVE:
		control_run_edit(control, job);
		break;
	case JOB_HISTORY:
		control_run_history(control, job);
		break;
	case JOB_IN_FORCE:
		control_run_in_force(control, job, now_us);
		break;
	case JOB_EXPLAIN:
		control_run_explain(control, job, now_us);
		break;
	case JOB_BURN:
		control_run_burn(control, job, now_us);
		break;
	case JOB_DRAIN:
		control_run_drain(control, job);
		break;
	case JOB_MEMBERS:
		control_json_finish(job, 200, control_members_json(control));
		break;
	case JOB_MEMBER_ADD:
	case JOB_MEMBER_PROMOTE:
	case JOB_MEMBER_REMOVE:
		control_run_member_change(control, job);
		break;
	case JOB_STATUS:
	case JOB_READY:
		break;
	}
}
