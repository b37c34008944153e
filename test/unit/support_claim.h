/*
 * Seeded schedules of non-idempotent calls under faults, in virtual time: the
 * real ledger and attempts, with simulated callers, entries, control, targets
 * and network.  Executions are counted at the targets, independently of the
 * replies to callers.
 */
#ifndef SUPPORT_CLAIM_H
#define SUPPORT_CLAIM_H

#include <stdint.h>

enum claim_mode {
	CLAIM_MODE_CLAIMED, /* through control's ledger */
	CLAIM_MODE_LOCAL, /* each entry remembers keys in its own memory */
	CLAIM_MODE_NONE, /* every submission is sent */
	CLAIM_MODE_COUNT
};

struct claim_totals {
	uint64_t schedules;
	uint64_t submissions;
	uint64_t runs;
	uint64_t answer_replies;
	uint64_t not_run_replies;
	uint64_t unknown_replies;
	uint64_t run_twice; /* keys that ran more than once */
	uint64_t ran_despite_not_run; /* submissions */
	uint64_t claims_lost; /* keys that ran and that the ledger removed */
	uint64_t wrong_answers; /* of another key, or two of one key */
	uint64_t orphans; /* claims open at the end without a running attempt */
	uint64_t stuck; /* claims still open an hour later */
	uint64_t without_reply; /* submissions on intact connections */
	/* Faults injected. */
	uint64_t crashes, pauses, partitions, leader_changes;
	uint64_t late_runs, rejected_ends;
};

/* Runs one schedule and adds its counts to totals. */
void claim_schedule_run(
    uint64_t seed, enum claim_mode mode, struct claim_totals *totals);

#endif
