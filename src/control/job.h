/*
 * An operator's request, passed from an HTTP thread to the control loop and
 * back.  Both sides hold a reference, so that the HTTP thread can stop waiting.
 */
#ifndef CONTROL_JOB_H
#define CONTROL_JOB_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/refcount.h"
#include "base/str.h"

enum job_kind {
	JOB_DOCUMENT,
	JOB_SECTIONS,
	JOB_SECTION,
	JOB_EDIT,
	JOB_REMOVE,
	JOB_HISTORY,
	JOB_IN_FORCE,
	JOB_STATUS,
	JOB_EXPLAIN,
	JOB_BURN,
	JOB_DRAIN,
	JOB_MEMBERS,
	JOB_MEMBER_ADD,
	JOB_MEMBER_PROMOTE,
	JOB_MEMBER_REMOVE,
	JOB_READY
};

struct job {
	struct refcount ref;
	enum job_kind kind;
	/* The request; owned. */
	char *name; /* section, refusal id or target */
	char *edit_id;
	char *author;
	char *token;
	char *address;
	struct str_buf text;
	uint64_t revision; /* or index, or replica id */
	/* The response. */
	int http_status;
	const char *content_type; /* static string */
	unsigned retry_after_s; /* 0: no Retry-After */
	uint64_t etag; /* section revision; 0: none */
	uint64_t document_revision; /* 0: none */
	struct str_buf body;
	/* Answers of entries still missing; used by the loop only. */
	unsigned waiting;
	/* Guarded by lock. */
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
};

/*
 * Returns a job with one reference; it owns the strings that the caller stores
 * in it.
 */
struct job *job_new(enum job_kind kind);
void job_get(struct job *job) ATTR_NONNULL_ALL;
/* Drops a reference; the last one frees the job and its strings. */
void job_put(struct job *job);
/* Called by the loop when the response is complete. */
void job_finish(struct job *job, int http_status,
    const char *content_type) ATTR_NONNULL_ALL;
/* Finishes the job with application/problem+json (RFC 9457). */
void job_finish_with_problem(struct job *job, int http_status, const char *code,
    const char *fmt, ...) ATTR_PRINTF(4, 5) ATTR_NONNULL(1, 3, 4);
/* Called by the HTTP thread; false if there was no response in time. */
bool job_wait(
    struct job *job, uint64_t timeout_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
