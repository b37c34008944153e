/*
 * Internals shared by the parts of the control loop.  Only the loop's thread
 * may use them, except for the job queue.
 */
#ifndef CONTROL_CONTROL_INTERNAL_H
#define CONTROL_CONTROL_INTERNAL_H

#include <glib.h>

#include "base/counter.h"
#include "base/minute_log.h"
#include "control/control.h"
#include "control/entry_table.h"
#include "control/state_machine.h"
#include "control/view_log.h"
#include "link/transport.h"
#include "replica/storage.h"

/* A proposed command and who waits for its result. */
struct pending_command {
	uint64_t index;
	uint64_t term;
	struct transport_peer peer; /* the entry that proposed, if has_peer */
	uint64_t request;
	char *claim; /* claim key as text, else NULL */
	struct job *job; /* the operator's job, else NULL */
	bool has_peer;
};

/* A query that an entry has not answered yet. */
struct pending_query {
	struct job *job;
	char entry[ENTRY_NAME_BYTES];
	uint64_t deadline_us;
};

struct control {
	struct control_settings settings;
	struct transport *transport;
	void *router;
	GHashTable *peers; /* address -> DEALER socket */
	GHashTable *addresses; /* replica id -> link address */
	struct replica *replica;
	struct replica_storage storage;
	struct replica_info info; /* as of the last change or round */
	struct state_machine machine;
	struct entry_table *entries;
	GHashTable *pending; /* index -> struct pending_command */
	GHashTable *claim_waiters; /* claim key -> GArray of peers */
	GHashTable *queries; /* request -> struct pending_query */
	uint64_t last_query;
	uint64_t view_sent; /* newest view index sent to entries */
	uint64_t leader_tasks_due_us; /* next run of the leader tasks */
	uint64_t claim_holders_due_us; /* next check of claim holders */
	bool leading;
	/* The job queue, guarded by lock. */
	pthread_mutex_t lock;
	GQueue jobs;
	bool ended; /* the loop runs no more jobs */
	int wake_fd;
	atomic_bool stopping;
	struct counter *is_leader;
	struct counter *commands;
	struct counter *rejected_messages;
	struct minute_log rejected_log; /* by replica */
};

/* Fleet settings used before there is a document. */
enum {
	CONTROL_LEASE_DEFAULT_MS = 3000,
	CONTROL_TARGET_LEASE_DEFAULT_MS = 3000,
	CONTROL_ENTRIES_MAX_DEFAULT = 17,
	CONTROL_RETRY_AFTER_S =
	    1 /* an entry reports, or another leads by then */
};

bool control_holds_leader_lease(
    const struct control *control, uint64_t now_us) ATTR_NONNULL_ALL;
void control_share_params(const struct control *control,
    struct share_params *shares) ATTR_NONNULL_ALL;
uint64_t control_lease_us(const struct control *control) ATTR_NONNULL_ALL;
uint64_t
control_target_lease_us(const struct control *control) ATTR_NONNULL_ALL;
uint64_t control_entry_lost_us(const struct control *control) ATTR_NONNULL_ALL;
const char *
control_leader_address(const struct control *control) ATTR_NONNULL_ALL;
/*
 * Proposes a command and registers its waiter, which may be NULL.  On success
 * waiter's job reference and claim text are taken over.
 */
enum status control_propose(struct control *control, Wire__Command *command,
    const struct pending_command *waiter) ATTR_NONNULL(1, 2) ATTR_UNUSED_RESULT;

/* control.c: the event loop. */
void control_wake(void *ctx) ATTR_NONNULL_ALL;
/* Returns the next job submitted by an HTTP thread; NULL if there is none. */
struct job *control_next_job(struct control *control) ATTR_NONNULL_ALL;

/* control_replica.c: callbacks and messages of the replica. */
void control_replica_callbacks(struct control *control,
    struct replica_callbacks *callbacks) ATTR_NONNULL_ALL;
void control_replica_message(struct control *control,
    const struct transport_peer *from, struct str message, uint64_t now_us)
    ATTR_NONNULL(1, 2);
void control_replica_set_address(
    struct control *control, uint64_t id, const char *address) ATTR_NONNULL_ALL;

/* control_entries.c: messages from entries. */
void control_send(struct control *control, const struct transport_peer *peer,
    const Wire__Envelope *envelope) ATTR_NONNULL_ALL;
void control_entries_message(struct control *control,
    const struct transport_peer *from, Wire__Envelope *envelope,
    uint64_t now_us) ATTR_NONNULL_ALL;
void control_entries_result(struct control *control,
    const struct pending_command *pending,
    Wire__Result *result) ATTR_NONNULL_ALL;

/* control_view.c: distribution of the view to entries. */
Wire__Target *control_target_message(
    const struct registry_target *from) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void control_view_send(struct control *control,
    const struct transport_peer *peer, uint64_t after) ATTR_NONNULL_ALL;
void
control_view_push(struct control *control, uint64_t now_us) ATTR_NONNULL_ALL;

/*
 * control_claims.c: submissions that wait for a claim held by another one.  A
 * submission is one call with a claim key: the first one runs, the others get
 * its answer.
 */
char *control_claim_key_text(const Wire__Command *command) ATTR_NONNULL_ALL;
void control_claim_add_waiter(struct control *control, const char *text,
    const struct transport_peer *peer) ATTR_NONNULL_ALL;
void control_notify_claim_ended(
    void *ctx, const struct claim_key *key) ATTR_NONNULL_ALL;

/* control_leader_tasks.c: periodic tasks of the leader. */
void control_leader_tasks_start(
    struct control *control, uint64_t now_us) ATTR_NONNULL_ALL;
void control_leader_tasks_run(
    struct control *control, uint64_t now_us) ATTR_NONNULL_ALL;
void control_propose_entry_lost(struct control *control, const char *name,
    uint64_t incarnation) ATTR_NONNULL_ALL;

/* control_jobs.c: requests of operators. */
void control_jobs_run(
    struct control *control, struct job *job, uint64_t now_us) ATTR_NONNULL_ALL;
void control_jobs_not_leader(
    struct control *control, struct job *job) ATTR_NONNULL_ALL;

/* Ends a job that this instance did not run, since it is stopping. */
void control_jobs_stopping(struct job *job) ATTR_NONNULL_ALL;
/*
 * Ends an edit, drain or membership change whose command is in the log and may
 * still be committed when this instance has stopped.
 */
void control_jobs_unknown(struct job *job) ATTR_NONNULL_ALL;
/*
 * Ends a job whose command was proposed by this instance as leader, which it no
 * longer is.
 */
void control_jobs_leader_lost(struct job *job) ATTR_NONNULL_ALL;

/* control_read.c: reads of the accepted document. */
void control_run_document(struct control *control, struct job *job);
void control_run_sections(struct control *control, struct job *job);
void control_run_section(struct control *control, struct job *job);
void control_run_history(struct control *control, struct job *job);
void
control_run_in_force(struct control *control, struct job *job, uint64_t now_us);

/* control_status.c: state of this instance. */
struct json_object *control_members_json(const struct control *control);
void
control_run_status(struct control *control, struct job *job, uint64_t now_us);
void
control_run_ready(struct control *control, struct job *job, uint64_t now_us);

/* control_edit.c: edits, drains and membership changes. */
void control_run_edit(struct control *control, struct job *job);
void control_run_drain(struct control *control, struct job *job);
void control_run_member_change(struct control *control, struct job *job);
void control_jobs_result(
    struct job *job, const Wire__Result *result) ATTR_NONNULL_ALL;

/* control_query.c: queries that entries answer. */
void
control_run_explain(struct control *control, struct job *job, uint64_t now_us);
void
control_run_burn(struct control *control, struct job *job, uint64_t now_us);
void control_jobs_query_answer(
    struct control *control, const Wire__QueryAnswer *answer) ATTR_NONNULL_ALL;
/* Ends the queries that were not answered in time. */
void control_jobs_query_expire(
    struct control *control, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
