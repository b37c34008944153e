#include "entry/crash_guard.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "net/address.h"
#include "retry/answer_memory.h"
#include "retry/crash_ledger.h"
#include "retry/quarantine.h"

enum {
	CONNECT_TIMEOUT_MS = 90,
	/* One that was accepted may have been in the backlog at the end. */
	RECHECK_DELAY_MS = 20
};

struct crash_guard {
	pthread_mutex_t lock;
	struct crash_ledger *ledger;
	struct quarantine *quarantine;
	struct answer_memory answers;
};

/*
 * Returns a guard that refuses nothing, freed with crash_guard_free().
 */
struct crash_guard *
crash_guard_new(void)
{
	struct crash_guard *guard = mem_calloc(1, sizeof(*guard));

	pthread_mutex_init(&guard->lock, NULL);
	guard->ledger = crash_ledger_new();
	guard->quarantine = quarantine_new();
	return guard;
}

/*
 * Frees the guard; NULL is allowed.
 */
void
crash_guard_free(struct crash_guard *guard)
{
	if (guard == NULL)
		return;
	crash_ledger_free(guard->ledger);
	quarantine_free(guard->quarantine);
	pthread_mutex_destroy(&guard->lock);
	mem_free(guard);
}

/*
 * Returns what is compared of a request: the hash of its content, and the
 * caller's address.
 */
struct crash_identity
crash_identity_of(uint64_t content, const char *address)
{
	return (struct crash_identity){
	    .content = content,
	    /* Not CRASH_ANY_CALLER. */
	    .caller = (uint32_t)str_hash(str_from(address)) | 1,
	};
}

/*
 * Returns whether an address refuses a connection.  One that can't be reached
 * may have a process that runs on.
 */
static bool
refuses_connection(struct str address)
{
	char text[ADDRESS_BYTES];
	struct sockaddr_in to;
	socklen_t len = sizeof(int);
	struct pollfd wait = {.events = POLLOUT};
	int error = 0;

	snprintf(text, sizeof(text), "%.*s", STR_ARG(address));
	if (!address_parse(text, &to))
		return false;
	wait.fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (wait.fd < 0) {
		log_warn(
		    "target_not_checked", "address=%s reason=\"%m\"", text);
		return false;
	}
	if (connect(wait.fd, (const struct sockaddr *)&to, sizeof(to)) != 0)
		error = errno;
	if (error == EINPROGRESS &&
	    (poll(&wait, 1, CONNECT_TIMEOUT_MS) != 1 ||
		getsockopt(wait.fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0))
		error = 0;
	close(wait.fd);
	return error == ECONNREFUSED;
}

static void
on_verdict(void *ctx, uint64_t content, uint32_t caller)
{
	struct crash_guard *guard = ctx;
	uint64_t now_us = clock_monotonic_us();

	(void)quarantine_expire(guard->quarantine, now_us);
	if (quarantine_add(guard->quarantine, content, caller,
		now_us + QUARANTINE_MS * US_PER_MS))
		log_warn("quarantine",
		    "content=%016" PRIx64 " caller=%08" PRIx32 " left_ms=%d",
		    content, caller, (int)QUARANTINE_MS);
}

/*
 * Returns how long a request is still refused, in microseconds.  The latest ends
 * are judged here: nothing else depends on the verdict.
 */
uint64_t
crash_guard_left_us(
    struct crash_guard *guard, const struct crash_identity *identity)
{
	uint64_t now_us = clock_monotonic_us();
	uint64_t left_us;

	pthread_mutex_lock(&guard->lock);
	crash_ledger_judge(guard->ledger, now_us, on_verdict, guard);
	left_us = quarantine_left_us(
	    guard->quarantine, identity->content, identity->caller, now_us);
	pthread_mutex_unlock(&guard->lock);
	return left_us;
}

/*
 * Records the end of a target under a request, unless the request was answered
 * so lately that it can't be the cause.
 */
static void
record_end(struct crash_guard *guard, const struct crash_identity *identity,
    struct str target, uint64_t incarnation)
{
	uint64_t now_us = clock_monotonic_us();
	bool fresh;

	pthread_mutex_lock(&guard->lock);
	fresh = answer_memory_is_fresh(
	    &guard->answers, identity->content, identity->caller, now_us);
	if (!fresh)
		crash_ledger_record(guard->ledger, identity->content,
		    identity->caller, str_hash_with(target, incarnation),
		    now_us);
	pthread_mutex_unlock(&guard->lock);
	log_info("target_ended",
	    "target=%.*s incarnation=%" PRIu64 " content=%016" PRIx64
	    " caller=%08" PRIx32 " answered_before=%d",
	    STR_ARG(target), incarnation, identity->content, identity->caller,
	    fresh);
}

/*
 * Looks whether a target that has broken off a call has ended, and records that;
 * returns whether it has.
 */
bool
crash_guard_on_broken(struct crash_guard *guard,
    const struct crash_identity *identity, struct str target,
    uint64_t incarnation, struct str address)
{
	bool ended = refuses_connection(address);

	if (!ended) {
		clock_sleep_us(RECHECK_DELAY_MS * US_PER_MS);
		ended = refuses_connection(address);
	}
	if (ended)
		record_end(guard, identity, target, incarnation);
	return ended;
}

/*
 * A target has answered the request: it is not what ends targets.
 */
void
crash_guard_on_answered(
    struct crash_guard *guard, const struct crash_identity *identity)
{
	uint64_t now_us = clock_monotonic_us();
	bool lifted;

	pthread_mutex_lock(&guard->lock);
	answer_memory_note(
	    &guard->answers, identity->content, identity->caller, now_us);
	(void)crash_ledger_answered(
	    guard->ledger, identity->content, identity->caller);
	lifted = quarantine_remove(
	    guard->quarantine, identity->content, identity->caller);
	lifted = quarantine_remove(
		     guard->quarantine, identity->content, CRASH_ANY_CALLER) ||
	    lifted;
	pthread_mutex_unlock(&guard->lock);
	if (lifted)
		log_info("quarantine",
		    "content=%016" PRIx64 " caller=%08" PRIx32 " left_ms=0",
		    identity->content, identity->caller);
}
