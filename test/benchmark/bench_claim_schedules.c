/*
 * Counts violations of at-most-once execution over seeded schedules, with
 * claims through control and optionally without them.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/settings.h"
#include "support_claim.h"

static uint64_t first_seed = 1;
static uint64_t schedules = 10000;
static bool unclaimed_modes = false;

static const struct setting entries[] = {
    {.name = "seed",
	.kind = SETTING_NUMBER,
	.value = &first_seed,
	.help = "first seed",
	.max = UINT32_MAX},
    {.name = "schedules",
	.kind = SETTING_NUMBER,
	.value = &schedules,
	.help = "schedules of each mode",
	.min = 1,
	.max = 100000000},
    {.name = "naive",
	.kind = SETTING_BOOL,
	.value = &unclaimed_modes,
	.help = "also run the modes without claims"},
};

static const char *const mode_names[CLAIM_MODE_COUNT] = {
    [CLAIM_MODE_CLAIMED] = "claims through control",
    [CLAIM_MODE_LOCAL] = "ledger of each entry",
    [CLAIM_MODE_NONE] = "no claims",
};

static uint64_t
run_mode(enum claim_mode mode)
{
	struct claim_totals t = {0};
	uint64_t start_us = clock_monotonic_us();

	for (uint64_t i = 0; i < schedules; i++)
		claim_schedule_run(first_seed + i, mode, &t);
	printf("%-23s %9" PRIu64 " %8" PRIu64 " %8" PRIu64 " %9" PRIu64
	       " %8" PRIu64 " %8" PRIu64 " %9" PRIu64 " %9" PRIu64 " %6" PRIu64
	       " %6" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6.1f\n",
	    mode_names[mode], t.schedules, t.submissions, t.runs,
	    t.answer_replies, t.not_run_replies, t.unknown_replies, t.run_twice,
	    t.ran_despite_not_run, t.claims_lost, t.wrong_answers, t.orphans,
	    t.without_reply,
	    (double)(clock_monotonic_us() - start_us) / (double)US_PER_S);
	return t.run_twice + t.ran_despite_not_run + t.claims_lost +
	    t.wrong_answers + t.stuck + t.without_reply;
}

int
main(int argc, char **argv)
{
	const struct settings settings = {
	    .program = "bench_claim_schedules",
	    .summary = "Checks at-most-once execution under faults.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	};
	uint64_t violations;

	settings_parse(&settings, &argc, &argv);
	printf("%-23s %9s %8s %8s %9s %8s %8s %9s %9s %6s %6s %7s %6s %6s\n",
	    "", "schedules", "submits", "runs", "answered", "not run",
	    "unknown", "run twice", "not run*", "lost", "wrong", "orphans",
	    "silent", "wall s");
	violations = run_mode(CLAIM_MODE_CLAIMED);
	if (unclaimed_modes) {
		(void)run_mode(CLAIM_MODE_LOCAL);
		(void)run_mode(CLAIM_MODE_NONE);
	}
	printf("not run*: submissions with reply \"not run\" whose request had "
	       "run\n");
	return violations > 0;
}
