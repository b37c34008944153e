/*
 * Wall time per call of admission, retry decision, refusal, burn record and
 * claim, in nanoseconds, with growing numbers of tenants, services and claims.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "base/settings.h"
#include "burn/burn.h"
#include "claim/attempt.h"
#include "claim/ledger.h"
#include "limit/admission_defs.h"
#include "refusal/refusal.h"
#include "retry/retry.h"

enum {
	NAME_BYTES = 24,
	SERVICES_MAX = 330,
	TENANTS_MAX = 3000,
	RUNNING = 64,
	ANSWER_BYTES = 512
};

static const unsigned service_counts[] = {2, 24, 330};
static const unsigned tenant_counts[] = {16, 250, 3000};
static const uint64_t claim_counts[] = {1000, 100000, 1000000};

static uint64_t calls = 500000;

static char services[SERVICES_MAX][NAME_BYTES];
static char tenants[TENANTS_MAX][NAME_BYTES];

static double
per_call(uint64_t start_ns, uint64_t count)
{
	return (double)(clock_monotonic_ns() - start_ns) / (double)count;
}

static void
ignore_wake(void *ctx ATTR_UNUSED, void *waiter ATTR_UNUSED,
    bool admitted ATTR_UNUSED, enum refusal_reason reason ATTR_UNUSED)
{
}

static struct admission *
new_admission(uint32_t running_max)
{
	return admission_new(&(struct admission_params){
	    .running_max = running_max,
	    .bulk_max = running_max,
	    .queue_max = 1024,
	    .queue_wait_us = US_PER_S,
	    .wake = ignore_wake,
	});
}

static struct admission_ticket *
enter(struct admission *admission, unsigned tenant, uint64_t now_us)
{
	struct admission_call call = {
	    .tenant = str_from(tenants[tenant]),
	    .limits = {.weight = 1, .calls_per_s = 1e9, .burst = 1e9},
	    .deadline_us = now_us + US_PER_S,
	};
	struct admission_ticket *ticket;
	enum refusal_reason reason;
	uint64_t retry_after_us;

	if (admission_enter(admission, &call, now_us, &ticket, &reason,
		&retry_after_us) == ADMISSION_REFUSED)
		return NULL;
	return ticket;
}

/*
 * Enters and leaves calls alternately, with RUNNING calls at a time.
 */
static double
time_admission(unsigned service_count, unsigned tenant_count)
{
	struct admission *admissions[SERVICES_MAX];
	struct admission_ticket *running[RUNNING] = {0};
	struct admission *owners[RUNNING] = {0};
	struct random random;
	uint64_t start_ns;
	double ns;

	random_seed(&random, 1);
	for (unsigned i = 0; i < service_count; i++)
		admissions[i] = new_admission(2 * RUNNING);
	start_ns = clock_monotonic_ns();
	for (uint64_t i = 0; i < calls; i++) {
		unsigned slot = i % RUNNING;

		if (running[slot] != NULL)
			admission_leave(owners[slot], running[slot], i);
		owners[slot] = admissions[random_below(&random, service_count)];
		running[slot] = enter(owners[slot],
		    (unsigned)random_below(&random, tenant_count), i);
	}
	ns = per_call(start_ns, calls);
	for (unsigned i = 0; i < RUNNING; i++)
		if (running[i] != NULL)
			admission_leave(owners[i], running[i], calls);
	for (unsigned i = 0; i < service_count; i++)
		admission_free(admissions[i]);
	return ns;
}

static double
time_retry(void)
{
	struct retry_budget *budget = retry_budget_new(&(struct retry_params){
	    .retry_percent = 10, .hedge_percent = 5, .attempts_max = 3});
	struct retry_call call = {.repeatable = true,
	    .attempts = 1,
	    .deadline_us = US_PER_S,
	    .expected_us = US_PER_MS};
	uint64_t start_ns = clock_monotonic_ns();
	uint64_t retries = 0;
	double ns;

	for (uint64_t i = 0; i < calls; i++) {
		retry_budget_count_call(budget);
		retries +=
		    retry_decide(budget, &call, RETRY_SHED, 0) == RETRY_AGAIN;
	}
	ns = per_call(start_ns, calls);
	if (retries * 10 > calls)
		printf("retries above the budget\n");
	retry_budget_free(budget);
	return ns;
}

static double
time_refusal(void)
{
	struct refusal_log *log = refusal_log_new(str_from("entry-1"), 1, 4096);
	struct refusal refusal = {.reason = REFUSAL_QUEUE_FULL};
	uint64_t start_ns = clock_monotonic_ns();
	double ns;

	for (uint64_t i = 0; i < calls; i++)
		refusal_log_add(log, &refusal);
	ns = per_call(start_ns, calls);
	refusal_log_free(log);
	return ns;
}

static double
time_burn(unsigned service_count, unsigned tenant_count)
{
	struct burn *burn = burn_new(UINT32_MAX);
	struct random random;
	uint64_t start_ns;
	double ns;

	random_seed(&random, 1);
	start_ns = clock_monotonic_ns();
	for (uint64_t i = 0; i < calls; i++) {
		struct burn_key key = {
		    .service = str_from(
			services[random_below(&random, service_count)]),
		    .objective = STR_LITERAL("answers"),
		    .tenant = str_from(tenants[random_below(
			&random, tenant_count > 100 ? 100 : tenant_count)]),
		};

		burn_record(burn, &key, 9950, 2592000, true, i * 10);
	}
	ns = per_call(start_ns, calls);
	burn_free(burn);
	return ns;
}

static struct claim_open
make_claim_open(uint64_t number, unsigned service_count, char *key)
{
	(void)snprintf(key, NAME_BYTES, "%020" PRIu64, number);
	return (struct claim_open){
	    .key = {.tenant = str_from(tenants[number % TENANTS_MAX]),
		.service = str_from(services[number % service_count]),
		.key = str_from(key)},
	    .holder = {.entry = STR_LITERAL("entry-1"),
		.incarnation = 1,
		.attempt = number},
	    .retention_us = 3600 * US_PER_S,
	    .claims_max = UINT64_MAX,
	    .time_us = number,
	};
}

static void
claim_once(struct claim_ledger *ledger, uint64_t number, unsigned service_count)
{
	static const char body[ANSWER_BYTES];
	char key[NAME_BYTES];
	struct claim_open open = make_claim_open(number, service_count, key);
	struct claim_end end = {.key = open.key,
	    .holder = open.holder,
	    .ending = CLAIM_ENDED_ANSWERED,
	    .answer = {.http_status = 201,
		.content_type = STR_LITERAL("application/json"),
		.body = str_of(body, sizeof(body)),
		.kept = true},
	    .time_us = number};
	struct claim_answer answer;

	(void)claim_ledger_open(ledger, &open, &answer);
	(void)claim_ledger_end(ledger, &end);
}

/*
 * Fills a ledger, then measures a save, and claims (open and end) on top of
 * them.
 */
static void
print_claim_times(uint64_t claim_count, unsigned service_count)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct str_buf saved = {0};
	uint64_t timed = calls / 5;
	uint64_t start_ns;
	double save_ms;
	double bytes;
	double ns;

	for (uint64_t i = 0; i < claim_count; i++)
		claim_once(ledger, i, service_count);
	bytes = (double)claim_ledger_bytes(ledger) / (double)claim_count;
	start_ns = clock_monotonic_ns();
	claim_ledger_save(ledger, &saved);
	save_ms = per_call(start_ns, 1000000);
	start_ns = clock_monotonic_ns();
	for (uint64_t i = 0; i < timed; i++)
		claim_once(ledger, claim_count + i, service_count);
	ns = per_call(start_ns, timed);
	printf("%9" PRIu64 " %9u %12.0f %12.0f %12.1f %12.1f\n", claim_count,
	    service_count, ns, 1e9 / ns, bytes, save_ms);
	str_buf_free(&saved);
	claim_ledger_free(ledger);
}

static const struct setting entries[] = {
    {.name = "calls",
	.kind = SETTING_NUMBER,
	.value = &calls,
	.help = "calls timed for each figure",
	.min = 1000,
	.max = 100000000},
};

int
main(int argc, char **argv)
{
	const struct settings settings = {
	    .program = "bench_limit",
	    .summary = "Wall time of limits, retries, burn and claims.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	};

	settings_parse(&settings, &argc, &argv);
	for (unsigned i = 0; i < SERVICES_MAX; i++)
		(void)snprintf(services[i], NAME_BYTES, "service-%u", i);
	for (unsigned i = 0; i < TENANTS_MAX; i++)
		(void)snprintf(tenants[i], NAME_BYTES, "tenant-%u", i);
	printf("%9s %9s %12s %12s\n", "services", "tenants", "admission ns",
	    "burn ns");
	for (unsigned i = 0; i < 3; i++)
		for (unsigned j = 0; j < 3; j++)
			printf("%9u %9u %12.0f %12.0f\n", service_counts[i],
			    tenant_counts[j],
			    time_admission(service_counts[i], tenant_counts[j]),
			    time_burn(service_counts[i], tenant_counts[j]));
	printf(
	    "\nretry budget and decision %.0f ns, refusal record %.0f ns\n\n",
	    time_retry(), time_refusal());
	printf("bytes without names: tenant of a service %zu, call %zu, "
	       "refusal %zu, attempt of a claim %zu\n\n",
	    sizeof(struct admission_tenant), sizeof(struct admission_ticket),
	    sizeof(struct refusal), sizeof(struct claim_attempt));
	printf("%9s %9s %12s %12s %12s %12s\n", "claims", "services",
	    "claim ns", "claims a s", "bytes each", "save ms");
	for (unsigned i = 0; i < 3; i++) {
		print_claim_times(claim_counts[i], service_counts[0]);
		print_claim_times(claim_counts[i], service_counts[2]);
	}
	return 0;
}
