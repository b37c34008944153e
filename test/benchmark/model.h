/*
 * A simulation of one service in virtual time: entries that run the balancer,
 * targets with slots and a queue, transit times between failure domains, and
 * faults.  Equal configurations and seeds give equal results.
 */
#ifndef MODEL_H
#define MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/balance.h"
#include "base/clock.h"
#include "base/random.h"

enum {
	MODEL_TARGETS_MAX = 64,
	MODEL_ENTRIES_MAX = 32,
	MODEL_DOMAINS = 4,
	MODEL_ATTEMPTS_MAX = 3, /* per call, including hedges */
	MODEL_WINDOW_US = 100000,
	MODEL_WARMUP_US = 500000, /* earlier calls are not recorded */
	MODEL_TRANSIT_NEAR_US = 250, /* one way inside a failure domain */
	MODEL_TRANSIT_FAR_US = 1500, /* one way between failure domains */
	MODEL_CONNECT_US = 1000,
	MODEL_REPORT_BYTES = 60, /* header field of an answer */
	MODEL_MESSAGE_BYTES = 700 /* an additional request and its answer */
};

enum model_fault {
	FAULT_STRAGGLER = 1 << 0, /* periodically 10 times slower */
	FAULT_FAIL_FAST = 1 << 1, /* a target answers at once with errors */
	FAULT_IDLE_REPORT = 1 << 2, /* a quarter report no load */
	FAULT_FROZEN_REPORT = 1 << 3, /* a quarter repeat an old report */
	FAULT_LATE_REPORT = 1 << 4, /* all reports are old without saying so */
	FAULT_COLD_START = 1 << 5, /* targets restart, 3 times slower */
	FAULT_DRAIN = 1 << 6, /* targets drain in turn and return */
	FAULT_DOMAIN_LOSS = 1 << 7, /* targets and entries of one domain */
	FAULT_ENTRY_LOSS = 1 << 8 /* 5 entries at the same time */
};

enum model_service {
	SERVICE_EXPONENTIAL,
	SERVICE_HYPEREXPONENTIAL /* squared coefficient of variation 4 */
};

struct model_config {
	uint32_t targets;
	uint32_t slots;
	uint32_t entries;
	double load; /* utilisation of all slots */
	double mean_us;
	enum model_service service;
	uint32_t faults; /* enum model_fault */
	uint64_t straggler_slow_us; /* the period is 1.5 times this */
	uint64_t report_delay_us;
	uint32_t calls;
	enum balance_policy policy;
	bool hedge; /* hedge when the balancer recommends it */
	uint32_t entries_in_lookup; /* entries named by the lookup; 0: all */
	uint64_t seed;
};

struct model_result {
	uint32_t *latencies_us; /* of answered calls, at the entry */
	size_t answered;
	bool sorted;
	uint64_t calls;
	uint64_t refused; /* calls without an answer */
	uint64_t lost; /* in flight on an entry that failed */
	uint64_t hedges;
	uint64_t retries; /* after a shed answer or an error */
	uint64_t sheds;
	uint64_t cancels; /* messages that cancel the loser of a hedge */
	uint64_t bytes; /* of reports and additional messages */
	double share_max; /* in fair shares, largest of any window */
	double share_recovered; /* the same for targets just recovered */
	double share_pooled; /* by time since the recovery, largest */
	uint64_t picks;
};

/* One arriving call, the same for every policy. */
struct model_arrival {
	uint64_t at_us;
	uint64_t work_us; /* service time on a healthy target */
	uint32_t entry_draw;
};

struct model_arrivals {
	struct random random;
	double now_us;
	double gap_us;
	double mean_us;
	enum model_service service;
};

void model_arrivals_start(
    struct model_arrivals *arrivals, const struct model_config *config);
struct model_arrival model_arrivals_next(struct model_arrivals *arrivals);

/*
 * Records one latency.  Zero the result before its first use; it is used for
 * one run only.
 */
void model_result_record(struct model_result *result, uint64_t latency_us);
/* Returns an exact quantile in milliseconds; sorts the latencies. */
double model_result_quantile_ms(struct model_result *result, double quantile);
void model_result_free(struct model_result *result);

void model_run(const struct model_config *config, struct model_result *result);
/*
 * Runs the reference: a central queue with complete knowledge, no transit time
 * and no faulty targets.
 */
void
model_ideal(const struct model_config *config, struct model_result *result);

#endif
