/*
 * A model of entries and voters in virtual time that drives the decisions on
 * allowances (src/limit/allowance_*) under faults, and a checker of the bound
 * that knows only when requests were sent by their callers and run.
 */
#ifndef SUPPORT_ALLOWANCE_H
#define SUPPORT_ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	ALLOWANCE_MODEL_ENTRIES = 141,
	ALLOWANCE_MODEL_SHARES = 5,
	/* The voters and one successor. */
	ALLOWANCE_MODEL_VOTERS = ALLOWANCE_MODEL_SHARES + 1
};

struct allowance_model {
	const char *name;
	double rate_per_s;
	double burst;
	unsigned window_ms;
	double demand; /* times the rate */
	unsigned entries; /* with demand at a time */
	unsigned move_ms; /* after which other entries have it; 0: never */
	unsigned seconds;
	unsigned lost_voters; /* from the start */
	double rejected; /* share of requests that get no target */
	bool faults; /* losses, freezes, restarts, a replaced voter, cuts */
	unsigned
	    pause_ms; /* demand stops for as long after as long; 0: never */
	unsigned planted_shares; /* wrong number of shares; 0: the right one */
};

struct allowance_outcome {
	unsigned sent; /* requests of callers */
	unsigned run;
	unsigned refused;
	unsigned unknown;
	unsigned windows; /* checked */
	unsigned above; /* windows above the bound */
	unsigned most; /* requests in one window */
	double bound;
	double usable; /* run, of the smaller of demand and allowance */
	unsigned draws; /* messages to voters */
};

struct allowance_outcome
allowance_model_run(const struct allowance_model *model, uint64_t seed);

/* The patterns of the table; the last one has no name. */
extern const struct allowance_model allowance_models[];

#endif
