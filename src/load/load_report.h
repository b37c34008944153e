/*
 * Results of a load: statistics per route, per phase and in total, written as a
 * table, as JSON, as CSV (a line per call) and as an SVG plot.
 */
#ifndef LOAD_LOAD_REPORT_H
#define LOAD_LOAD_REPORT_H

#include <stdio.h>

#include "base/histogram.h"
#include "load/load_call.h"

struct load_stats {
	uint64_t calls;
	uint64_t outcomes[LOAD_OUTCOME_COUNT];
	uint64_t reasons[LOAD_REASONS_MAX];
	uint64_t replayed;
	struct histogram latency; /* us, of complete answers */
	struct histogram overhead; /* us, latency without service time */
};

struct load_report {
	const struct load_plan *plan;
	const struct load_mix *mix;
	const struct load_reasons *reasons;
	struct load_stats total;
	struct load_stats routes[LOAD_ROUTES_MAX];
	struct load_stats phases[LOAD_PHASES_MAX];
};

/* Excludes latencies of calls with an intended start before warm_up_us. */
struct load_report *
load_report_new(const struct load_plan *plan, const struct load_mix *mix,
    const struct load_reasons *reasons, uint64_t warm_up_us);
void load_report_free(struct load_report *report);
void load_report_print_table(
    const struct load_report *report, FILE *out) ATTR_NONNULL_ALL;
enum status load_report_write_json(const struct load_report *report,
    const char *path) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status load_report_write_csv(const struct load_report *report,
    const char *path) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
enum status load_report_write_svg(const struct load_report *report,
    const char *path) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Prints the quantiles of two JSON results with difference and ratio. */
enum status load_report_compare(const char *first, const char *second,
    FILE *out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Whether no answer was wrong, truncated or disconnected. */
bool load_report_is_clean(const struct load_report *report) ATTR_NONNULL_ALL;

#endif
