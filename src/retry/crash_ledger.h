/*
 * Which requests ran on targets when these ended.  A request ends targets if
 * three have ended under it, none has answered it since, and no other request
 * explains these ends: those that merely ran beside it are told apart by that.
 * Ends under one caller's requests say nothing of the same requests of others;
 * ends under several callers' do, unless one of them was answered.
 *
 * Performs no I/O; the time is an argument; a ledger belongs to one thread.
 */
#ifndef RETRY_CRASH_LEDGER_H
#define RETRY_CRASH_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	/* Targets that have ended under a request that is refused from then on. */
	CRASHES_MAX = 3,
	CRASH_ANY_CALLER = 0 /* in a verdict */
};

struct crash_ledger;

/* Called for each request found to end targets. */
typedef void crash_verdict(void *ctx, uint64_t content, uint32_t caller);

struct crash_ledger *crash_ledger_new(void) ATTR_UNUSED_RESULT;
void crash_ledger_free(struct crash_ledger *ledger);
/*
 * A target, by the hash of its incarnation, has ended while it ran a request.
 * The same end may be recorded more than once.
 */
void crash_ledger_record(struct crash_ledger *ledger, uint64_t content,
    uint32_t caller, uint64_t target, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * A target has answered a request.  Returns whether ends were recorded under
 * this caller's, which are forgotten.
 */
bool crash_ledger_answered(struct crash_ledger *ledger, uint64_t content,
    uint32_t caller) ATTR_NONNULL_ALL;
/*
 * Judges the requests of the latest ends, once the other requests that ran on
 * the same targets should have been recorded.  To be called every 100 ms or so.
 * verdict is NULL while another instance judges: they are then judged here at
 * their next end at the earliest.
 */
void crash_ledger_judge(struct crash_ledger *ledger, uint64_t now_us,
    crash_verdict *verdict, void *ctx) ATTR_NONNULL(1);

#endif
