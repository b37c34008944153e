/*
 * A replay in virtual time of a service whose targets answer some requests ten
 * times as late, with second sends by the product's rule or by another one.
 * The other rules are for comparison: the product has only its own.
 */
#ifndef SUPPORT_HEDGE_LOAD_H
#define SUPPORT_HEDGE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	HEDGE_LOAD_SECONDS = 20,
	HEDGE_LOAD_LATE_MS = 500,
	HEDGE_LOAD_DELAY_MS = 150 /* above each ordinary time, 90 to 110 ms */
};

enum hedge_policy {
	HEDGE_POLICY_NONE,
	HEDGE_POLICY_RULE, /* the product's */
	HEDGE_POLICY_DELAY, /* after HEDGE_LOAD_DELAY_MS */
	HEDGE_POLICY_PERCENTILE, /* beyond nine in ten times */
	HEDGE_POLICY_TIED, /* both at once, the first answer ends the other */
	HEDGE_POLICY_START, /* both at once, the first to start ends the other */
	/*
	 * The same, with the time of the ended sends counted as the share when
	 * they end, instead of their number.
	 */
	HEDGE_POLICY_START_WORK,
	HEDGE_POLICIES
};

struct hedge_load {
	enum hedge_policy policy;
	double share;
	double per_s;
	double stuck; /* part of the sends that take ten times as long */
	bool slow_start; /* these begin late, instead of running longer */
	unsigned
	    takeover_ms; /* the scheduler is replaced this often; 0: never */
	uint64_t all_slow_ms; /* from then on each send is stuck; 0: never */
	uint64_t all_slow_end_ms; /* until then; 0: to the end */
	bool own_view;
	bool once; /* the requests may not be repeated */
	/*
	 * Two schedulers share the requests, and one of them is lost this often
	 * on average; 0: one scheduler.
	 */
	unsigned lost_ms;
};

struct hedge_load_result {
	unsigned requests;
	unsigned answered;
	unsigned rejected;
	unsigned late; /* answers HEDGE_LOAD_LATE_MS after the arrival */
	unsigned late_from_send; /* or after the first send */
	unsigned late_after; /* of the requests after all_slow_end_ms */
	unsigned second; /* sends by any rule */
	unsigned second_slow; /* of them while all are slow */
	unsigned hedges; /* second sends within the share */
	unsigned hedges_slow; /* of them while all are slow */
	unsigned losses; /* of schedulers */
	/*
	 * times at which hedges exceeded the share of the answers so far; 0 for
	 * HEDGE_POLICY_START_WORK
	 */
	unsigned exceeded;
	uint64_t slot_us; /* occupied by sends that have ended */
	uint64_t cancelled_us; /* of it by the sends that were cancelled */
};

struct hedge_load_result
hedge_load_replay(const struct hedge_load *load, uint64_t seed);

#endif
