#include "entry/notice.h"

#include <inttypes.h>
#include <pthread.h>

#include "base/call_header.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/minute_log.h"
#include "base/retry_after.h"
#include "entry/answer.h"
#include "entry/departure.h"
#include "entry/view.h"

enum {
	HTTP_UNAVAILABLE = 503
};

struct notices {
	struct notices_params params;
	pthread_mutex_t lock; /* protects unreadable_log */
	struct minute_log unreadable_log;
	struct counter *leavings;
	struct counter *backoffs;
	struct counter *unreadable;
};

/*
 * Returns the state shared by all responses, to be freed with notices_free().
 */
struct notices *
notices_new(const struct notices_params *params)
{
	struct notices *n = mem_calloc(1, sizeof(*n));

	n->params = *params;
	pthread_mutex_init(&n->lock, NULL);
	n->leavings = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_leavings_heard_total",
	    "Targets that said in a response that they leave (count)", NULL);
	n->backoffs = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_backoffs_heard_total",
	    "Responses 503 with a time to back off (count)", NULL);
	n->unreadable = counter_register(COUNTER_TOTAL,
	    "gypsummill_entry_retry_after_unreadable_total",
	    "Responses 503 with a Retry-After that is no number of seconds "
	    "(count)",
	    NULL);
	return n;
}

/*
 * Frees the state; NULL is allowed.
 */
void
notices_free(struct notices *n)
{
	if (n == NULL)
		return;
	minute_log_free(&n->unreadable_log);
	pthread_mutex_destroy(&n->lock);
	mem_free(n);
}

/* Returns whether a header is the one by which a target says that it leaves. */
static bool
is_leaving_header(struct str name, const char *other)
{
	return answer_header_is(name, CALL_HEADER_DRAINING) ||
	    (other != NULL && answer_header_is(name, other));
}

/*
 * Evaluates a header of a response.  Of several values of Retry-After the
 * longest counts.
 */
void
notice_read(struct notice *notice, const char *leaving_header, struct str name,
    struct str value)
{
	uint64_t us;

	if (is_leaving_header(name, leaving_header)) {
		if (str_equal_c(value, "1"))
			notice->leaving = true;
	} else if (answer_header_is(name, "Retry-After")) {
		if (!retry_after_parse(value, &us))
			notice->unreadable = true;
		if (us > notice->retry_after_us)
			notice->retry_after_us = us;
	}
}

/* Records a departure, and has control told of it if it is news. */
static void
apply_leaving(struct notices *n, const struct notice_target *target)
{
	if (view_record_departure(
		n->params.views, target->id, target->incarnation) != STATUS_OK)
		return;
	counter_add(n->leavings, 1);
	log_info("target_leaving",
	    "target=%.*s incarnation=%" PRIu64 " source=%s",
	    STR_ARG(target->id), target->incarnation, target->source);
	departures_add(n->params.departures, target->id, target->incarnation,
	    clock_monotonic_us());
}

/* Records a backoff. */
static void
apply_backoff(struct notices *n, const struct notice_target *target,
    uint64_t retry_after_us)
{
	enum backoff_change change =
	    view_record_backoff(n->params.views, target->id,
		target->incarnation, clock_monotonic_us() + retry_after_us);

	counter_add(n->backoffs, 1);
	if (change == BACKOFF_STARTED)
		log_info("target_backoff",
		    "target=%.*s incarnation=%" PRIu64 " ms=%" PRIu64
		    " source=%s",
		    STR_ARG(target->id), target->incarnation,
		    retry_after_us / US_PER_MS, target->source);
}

/* Counts a value that can't be read, and logs it once a target and minute. */
static void
report_unreadable(struct notices *n, const struct notice_target *target)
{
	char *id = str_dup(target->id);
	bool allowed;

	counter_add(n->unreadable, 1);
	pthread_mutex_lock(&n->lock);
	allowed =
	    minute_log_allow(&n->unreadable_log, id, clock_monotonic_us());
	pthread_mutex_unlock(&n->lock);
	if (allowed)
		log_warn(
		    "retry_after_unreadable", "target=%s next=ignored", id);
	mem_free(id);
}

/*
 * Acts on the complete head of a final response.
 */
void
notice_apply(struct notices *n, const struct notice_target *target,
    const struct notice *notice, int status)
{
	if (notice->leaving)
		apply_leaving(n, target);
	if (status != HTTP_UNAVAILABLE)
		return;
	if (notice->unreadable)
		report_unreadable(n, target);
	if (notice->retry_after_us > 0)
		apply_backoff(n, target, notice->retry_after_us);
}
