#include "control/job.h"

#include <stdarg.h>
#include <stdio.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/memory.h"

enum {
	DETAIL_BYTES = 1024
};

/*
 * Returns a job with one reference, owned by the caller and dropped with
 * job_put().
 */
struct job *
job_new(enum job_kind kind)
{
	struct job *job = mem_calloc(1, sizeof(*job));

	refcount_init(&job->ref);
	job->kind = kind;
	pthread_mutex_init(&job->lock, NULL);
	condition_init(&job->done_cond);
	return job;
}

/*
 * Takes one more reference.  Safe from any thread.
 */
void
job_get(struct job *job)
{
	refcount_get(&job->ref);
}

/*
 * Drops a reference and frees the job with the last; NULL is allowed.  Safe
 * from any thread.
 */
void
job_put(struct job *job)
{
	if (job == NULL || !refcount_put(&job->ref))
		return;
	mem_free(job->name);
	mem_free(job->edit_id);
	mem_free(job->author);
	mem_free(job->token);
	mem_free(job->address);
	str_buf_free(&job->text);
	str_buf_free(&job->body);
	pthread_cond_destroy(&job->done_cond);
	pthread_mutex_destroy(&job->lock);
	mem_free(job);
}

/*
 * Marks the response, whose body is in the job, as complete and wakes the
 * thread in job_wait(). content_type is a static string.
 */
void
job_finish(struct job *job, int http_status, const char *content_type)
{
	pthread_mutex_lock(&job->lock);
	job->http_status = http_status;
	job->content_type = content_type;
	job->done = true;
	pthread_cond_signal(&job->done_cond);
	pthread_mutex_unlock(&job->lock);
}

/*
 * Finishes the job with application/problem+json (RFC 9457), which replaces its
 * body; the detail is truncated to DETAIL_BYTES. Only the loop's thread may
 * call it once the job is submitted.
 */
void
job_finish_with_problem(
    struct job *job, int http_status, const char *code, const char *fmt, ...)
{
	struct json_object *root = json_object_new_object();
	char detail[DETAIL_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	json_object_object_add(
	    root, "type", json_object_new_string("about:blank"));
	json_object_object_add(root, "title", json_object_new_string(code));
	json_object_object_add(
	    root, "status", json_object_new_int(http_status));
	json_object_object_add(root, "code", json_object_new_string(code));
	json_object_object_add(root, "detail", json_object_new_string(detail));
	str_buf_clear(&job->body);
	str_buf_append_c(&job->body, json_object_to_json_string(root));
	json_object_put(root);
	job_finish(job, http_status, "application/problem+json");
}

/*
 * Waits up to timeout_us for the response.  Returns false on a time-out; the
 * loop may still write to the job then, so its body must not be read.
 */
bool
job_wait(struct job *job, uint64_t timeout_us)
{
	uint64_t deadline = clock_monotonic_us() + timeout_us;
	bool done;

	pthread_mutex_lock(&job->lock);
	while (
	    !job->done && condition_wait(&job->done_cond, &job->lock, deadline))
		;
	done = job->done;
	pthread_mutex_unlock(&job->lock);
	return done;
}
