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

enum allowance_restart {
	ALLOWANCE_RESTART_NONE,
	ALLOWANCE_RESTART_ALL, /* all processes, half way */
	ALLOWANCE_RESTART_ONE, /* one voter, every 2 s */
	ALLOWANCE_RESTART_VOTERS /* all voters, every 2 s */
};

/* Where the voters keep their floors. */
enum allowance_disk {
	ALLOWANCE_DISK_NONE,
	ALLOWANCE_DISK_GOOD,
	ALLOWANCE_DISK_BAD, /* late, stalled, failing and torn writes */
	/* After a restart the file holds a floor of half of the burst. */
	ALLOWANCE_DISK_PLANTED
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
	enum allowance_restart restart; /* refused callers come back then */
	/* Voters wait after a restart, and buckets fill only then. */
	bool earlier_rules;
	enum allowance_disk disk;
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
	/*
	 * From 1 to 3 s after the first grant that follows the restart: what
	 * callers sent, what was refused of it, and how many callers asked,
	 * each counted once.
	 */
	unsigned soon_sent;
	unsigned soon_refused;
	unsigned soon_earlier; /* sent before, and granted then */
	unsigned soon_asked;
	unsigned first; /* granted in the second after the first grant */
	double soon; /* served, of the smaller of asked and allowance */
};

struct allowance_outcome
allowance_model_run(const struct allowance_model *model, uint64_t seed);

/* The patterns of the table; the last one has no name. */
extern const struct allowance_model allowance_models[];

#endif
