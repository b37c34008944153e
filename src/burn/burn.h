/*
 * Error budget consumption per service, objective and tenant: good and bad
 * events over a short, a long and the objective's own window.
 */
#ifndef BURN_BURN_H
#define BURN_BURN_H

#include "base/status.h"
#include "base/str.h"

#define BURN_RATE_MAX 1e6

/* Durations of the fixed windows in seconds. */
enum {
	BURN_SHORT_S = 5 * 60,
	BURN_LONG_S = 60 * 60
};

struct burn_key {
	struct str service;
	struct str objective;
	struct str tenant;
};

struct burn_stats {
	struct burn_key key;
	uint32_t success_permyriad;
	uint64_t window_s;
	uint64_t observed_s; /* since the first event of the key */
	uint64_t short_good, short_bad; /* last BURN_SHORT_S */
	uint64_t long_good, long_bad; /* last BURN_LONG_S */
	uint64_t window_good, window_bad; /* window of the objective */
};

struct burn;
struct json_object;
typedef void burn_visitor(void *ctx, const struct burn_stats *stats);

/* keys_max limits the memory; events of further tenants count under "other". */
struct burn *burn_new(uint32_t keys_max);
void burn_free(struct burn *burn);
/* Counts an event.  Thread-safe. */
void burn_record(struct burn *burn, const struct burn_key *key,
    uint32_t success_permyriad, uint64_t window_s, bool good,
    uint64_t now_us) ATTR_NONNULL_ALL;
void burn_for_each(struct burn *burn, uint64_t now_us, burn_visitor *visit,
    void *ctx) ATTR_NONNULL(1, 3);
/* Returns the burn rate: 1.0 uses up the budget exactly within its window. */
double burn_rate(uint64_t good, uint64_t bad, uint32_t success_permyriad);
/* Returns the remaining share of the budget, 1.0 to below 0. */
double burn_budget_left(const struct burn_stats *stats) ATTR_NONNULL_ALL;
/*
 * Appends one object:
 *
 *   {"short_s": 300, "long_s": 3600, "burn": [
 *     {"service": "orders", "objective": "answers", "tenant": "store-7",
 *      "success_permyriad": 9950, "window_s": 2592000, "observed_s": 86400,
 *      "short":  {"good": 10, "bad": 1, "rate": 18.18},
 *      "long":   {"good": 90, "bad": 1, "rate": 2.2},
 *      "window": {"good": 900, "bad": 1, "rate": 0.22},
 *      "budget_left": 0.78}, ...]}
 *
 * in the order of burn_for_each().  The counts are those of one entry: a
 * report over several entries adds the counts, takes the largest observed_s,
 * and recomputes rates and budget_left from the sums (burn_rate()).  A window
 * longer than observed_s has been observed only in part.
 */
void burn_json(
    struct burn *burn, uint64_t now_us, struct str_buf *out) ATTR_NONNULL_ALL;
/*
 * Adds the items of another report in that format to a merged one and
 * recomputes its rates; *merged is initially NULL.  On STATUS_INVALID it is
 * unchanged.
 */
enum status burn_merge(struct json_object **merged,
    struct json_object *report) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
