/*
 * Tests of src/limit/admission.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/random.h"
#include "limit/admission.h"
#include "limit/heap.h"

enum {
	CALLS_MAX = 20000,
	WAIT_US = 1000000,
	NEVER = 1 << 30
};

/* One call from the point of view of its sender. */
struct call {
	struct admission_ticket *ticket;
	enum admission_verdict verdict; /* current */
	enum refusal_reason reason;
	uint64_t retry_after_us;
};

struct fixture {
	struct admission *admission;
	struct call calls[CALLS_MAX];
	unsigned count;
	unsigned woken[CALLS_MAX];
	unsigned woken_count;
};

static struct fixture fixture;

static void
on_wake(void *ctx, void *waiter, bool admitted, enum refusal_reason reason)
{
	struct fixture *f = ctx;
	struct call *call = waiter;

	assert_int_equal(call->verdict, ADMISSION_WAIT);
	call->verdict = admitted ? ADMISSION_RUN : ADMISSION_REFUSED;
	call->reason = reason;
	f->woken[f->woken_count++] = (unsigned)(call - f->calls);
}

static struct admission_params
params_of(uint32_t running_max, uint32_t bulk_max, uint32_t queue_max)
{
	return (struct admission_params){
	    .running_max = running_max,
	    .bulk_max = bulk_max,
	    .queue_max = queue_max,
	    .queue_wait_us = WAIT_US,
	    .wake = on_wake,
	    .ctx = &fixture,
	};
}

static void
fixture_init(uint32_t running_max, uint32_t bulk_max, uint32_t queue_max)
{
	struct admission_params params =
	    params_of(running_max, bulk_max, queue_max);

	fixture.count = 0;
	fixture.woken_count = 0;
	fixture.admission = admission_new(&params);
}

static struct call *
enter_limited(const char *tenant, enum admission_class class, uint64_t now_us,
    struct admission_tenant_params limits)
{
	struct call *call = &fixture.calls[fixture.count++];
	struct admission_call args = {
	    .tenant = str_from(tenant),
	    .limits = limits,
	    .class = class,
	    .deadline_us = now_us + 10 * US_PER_S,
	    .waiter = call,
	};

	call->verdict = ADMISSION_WAIT;
	call->verdict = admission_enter(fixture.admission, &args, now_us,
	    &call->ticket, &call->reason, &call->retry_after_us);
	return call;
}

static struct call *
enter(const char *tenant, enum admission_class class, uint64_t now_us)
{
	return enter_limited(tenant, class, now_us,
	    (struct admission_tenant_params){.weight = 1});
}

static void
leave(struct call *call, uint64_t now_us)
{
	assert_int_equal(call->verdict, ADMISSION_RUN);
	call->verdict = ADMISSION_REFUSED;
	admission_leave(fixture.admission, call->ticket, now_us);
}

/* Ends all running calls, and those started thereby. */
static void
fixture_finish(void)
{
	bool found = true;

	while (found) {
		found = false;
		for (unsigned i = 0; i < fixture.count; i++) {
			if (fixture.calls[i].verdict != ADMISSION_RUN)
				continue;
			found = true;
			leave(&fixture.calls[i], UINT64_MAX / 2);
		}
	}
	admission_free(fixture.admission);
}

static void
rate_limit_refusal_has_retry_after(void **state ATTR_UNUSED)
{
	struct admission_tenant_params limits = {.calls_per_s = 10, .burst = 2};

	fixture_init(NEVER, NEVER, 10);
	for (unsigned i = 0; i < 2; i++)
		assert_int_equal(
		    enter_limited("a", ADMISSION_INTERACTIVE, 0, limits)
			->verdict,
		    ADMISSION_RUN);
	assert_int_equal(
	    enter_limited("a", ADMISSION_INTERACTIVE, 0, limits)->reason,
	    REFUSAL_RATE_LIMITED);
	assert_int_equal(fixture.calls[2].retry_after_us, 100000);
	assert_int_equal(
	    enter_limited("b", ADMISSION_INTERACTIVE, 0, limits)->verdict,
	    ADMISSION_RUN);
	assert_int_equal(
	    enter_limited("a", ADMISSION_INTERACTIVE, 100000, limits)->verdict,
	    ADMISSION_RUN);
	for (unsigned i = 0; i < fixture.count; i++)
		if (fixture.calls[i].verdict == ADMISSION_RUN)
			leave(&fixture.calls[i], 100000);
	fixture_finish();
}

static void
tenant_is_limited_to_its_slots(void **state ATTR_UNUSED)
{
	struct admission_tenant_params limits = {.running_max = 2};
	struct call *waits;

	fixture_init(8, 8, 10);
	(void)enter_limited("a", ADMISSION_INTERACTIVE, 0, limits);
	(void)enter_limited("a", ADMISSION_BULK, 0, limits);
	waits = enter_limited("a", ADMISSION_INTERACTIVE, 0, limits);
	assert_int_equal(waits->verdict, ADMISSION_WAIT);
	assert_int_equal(
	    enter("b", ADMISSION_INTERACTIVE, 0)->verdict, ADMISSION_RUN);
	leave(&fixture.calls[0], 10);
	assert_int_equal(waits->verdict, ADMISSION_RUN);
	waits = enter_limited("a", ADMISSION_INTERACTIVE, 20, limits);
	admission_expire(fixture.admission, 20 + WAIT_US);
	assert_int_equal(waits->verdict, ADMISSION_REFUSED);
	assert_int_equal(waits->reason, REFUSAL_SHARE_EXCEEDED);
	fixture_finish();
}

static void
bulk_calls_leave_slots_for_interactive(void **state ATTR_UNUSED)
{
	fixture_init(4, 1, 10);
	(void)enter("sync", ADMISSION_BULK, 0);
	assert_int_equal(
	    enter("sync", ADMISSION_BULK, 0)->verdict, ADMISSION_WAIT);
	assert_int_equal(
	    enter("a", ADMISSION_INTERACTIVE, 0)->verdict, ADMISSION_RUN);
	leave(&fixture.calls[0], 10);
	assert_int_equal(fixture.calls[1].verdict, ADMISSION_RUN);
	fixture_finish();
}

static void
waits_end_at_deadline_or_longest_wait(void **state ATTR_UNUSED)
{
	struct call *call = &fixture.calls[1];
	struct admission_call args = {
	    .tenant = STR_LITERAL("a"),
	    .deadline_us = 500,
	    .waiter = call,
	};

	fixture_init(1, 1, 10);
	(void)enter("a", ADMISSION_INTERACTIVE, 0);
	fixture.count = 2;
	call->verdict = admission_enter(fixture.admission, &args, 100,
	    &call->ticket, &call->reason, &call->retry_after_us);
	assert_int_equal(call->verdict, ADMISSION_WAIT);
	(void)enter("a", ADMISSION_INTERACTIVE, 100);
	assert_int_equal(admission_next_expiry_us(fixture.admission), 500);
	admission_expire(fixture.admission, 499);
	assert_int_equal(fixture.woken_count, 0);
	admission_expire(fixture.admission, 500);
	assert_int_equal(fixture.woken_count, 1);
	assert_int_equal(call->reason, REFUSAL_QUEUE_TIMEOUT);
	/*
	 * A call whose wait has ended is refused even if a slot becomes free.
	 */
	leave(&fixture.calls[0], 100 + WAIT_US);
	assert_int_equal(fixture.calls[2].verdict, ADMISSION_REFUSED);
	assert_int_equal(
	    admission_next_expiry_us(fixture.admission), UINT64_MAX);
	assert_int_equal(
	    admission_enter(fixture.admission, &args, 500, &call->ticket,
		&call->reason, &call->retry_after_us),
	    ADMISSION_REFUSED);
	assert_int_equal(call->reason, REFUSAL_DEADLINE_TOO_SHORT);
	fixture_finish();
}

static void
abandoned_calls_are_not_woken(void **state ATTR_UNUSED)
{
	uint32_t running;
	uint32_t waiting;

	fixture_init(1, 1, 10);
	(void)enter("a", ADMISSION_INTERACTIVE, 0);
	(void)enter("a", ADMISSION_INTERACTIVE, 0);
	(void)enter("b", ADMISSION_INTERACTIVE, 0);
	admission_abandon(fixture.admission, fixture.calls[1].ticket, 10);
	leave(&fixture.calls[0], 20);
	assert_int_equal(fixture.woken_count, 1);
	assert_int_equal(fixture.woken[0], 2);
	leave(&fixture.calls[2], 30);
	admission_totals(fixture.admission, &running, &waiting);
	assert_int_equal(running + waiting, 0);
	fixture_finish();
}

static void
full_queue_evicts_from_longest_flow(void **state ATTR_UNUSED)
{
	fixture_init(1, 1, 10);
	for (unsigned i = 0; i < 11; i++)
		(void)enter("noisy", ADMISSION_INTERACTIVE, 0);
	assert_int_equal(enter("noisy", ADMISSION_INTERACTIVE, 0)->reason,
	    REFUSAL_QUEUE_FULL);
	assert_true(fixture.calls[11].retry_after_us > 0);
	assert_int_equal(
	    enter("quiet", ADMISSION_INTERACTIVE, 0)->verdict, ADMISSION_WAIT);
	assert_int_equal(fixture.woken_count, 1);
	assert_int_equal(fixture.woken[0], 10); /* the latest call of "noisy" */
	assert_int_equal(fixture.calls[10].reason, REFUSAL_QUEUE_FULL);
	leave(&fixture.calls[0], 10);
	assert_int_equal(fixture.calls[12].verdict, ADMISSION_RUN);
	fixture_finish();
}

static void
slot_time_is_shared_by_weight(void **state ATTR_UNUSED)
{
	static const char *const tenants[] = {"long", "short", "heavy"};
	static const uint64_t cost_us[] = {40000, 1000, 1000};
	static const uint32_t weights[] = {1, 1, 2};
	uint64_t used_us[3] = {0};
	unsigned owner[CALLS_MAX];
	uint64_t now_us = 0;
	struct call *running = NULL;

	fixture_init(1, 1, NEVER);
	for (unsigned step = 0; step < 4000; step++) {
		/* Keep a call of every tenant waiting. */
		for (unsigned t = 0; t < 3; t++) {
			struct admission_tenant_params limits = {
			    .weight = weights[t]};
			struct call *call;

			if (step > 0 && owner[running - fixture.calls] != t)
				continue;
			owner[fixture.count] = t;
			call = enter_limited(
			    tenants[t], ADMISSION_INTERACTIVE, now_us, limits);
			if (call->verdict == ADMISSION_RUN)
				running = call;
		}
		if (step == 0) {
			owner[fixture.count] = owner[running - fixture.calls];
			(void)enter("long", ADMISSION_INTERACTIVE, now_us);
		}
		now_us += cost_us[owner[running - fixture.calls]];
		used_us[owner[running - fixture.calls]] +=
		    cost_us[owner[running - fixture.calls]];
		leave(running, now_us);
		running =
		    &fixture.calls[fixture.woken[fixture.woken_count - 1]];
	}
	print_message("slot time: long %llu, short %llu, heavy %llu us\n",
	    (unsigned long long)used_us[0], (unsigned long long)used_us[1],
	    (unsigned long long)used_us[2]);
	assert_in_range(used_us[0], used_us[1] * 9 / 10, used_us[1] * 11 / 10);
	assert_in_range(used_us[2], used_us[1] * 18 / 10, used_us[1] * 22 / 10);
	fixture_finish();
}

static void
running_long_call_is_charged(void **state ATTR_UNUSED)
{
	fixture_init(2, 2, 100);
	(void)enter("long", ADMISSION_INTERACTIVE, 0);
	(void)enter("short", ADMISSION_INTERACTIVE, 50000);
	(void)enter("long", ADMISSION_INTERACTIVE, 50000);
	for (unsigned i = 0; i < 5; i++)
		(void)enter("short", ADMISSION_INTERACTIVE, 50000);
	/* While "long" holds one slot, the other one serves "short". */
	leave(&fixture.calls[1], 100000);
	for (unsigned i = 0; i < 4; i++) {
		unsigned last = fixture.woken[fixture.woken_count - 1];

		assert_true(last > 2);
		leave(&fixture.calls[last], 200000 + 100000 * i);
	}
	fixture_finish();
}

static void
reserve_admits_idle_tenant(void **state ATTR_UNUSED)
{
	fixture_init(8, 8, 100);
	(void)enter("quiet", ADMISSION_INTERACTIVE, 0);
	leave(&fixture.calls[0], 10);
	for (unsigned i = 0; i < 20; i++)
		(void)enter("noisy", ADMISSION_INTERACTIVE, 20);
	assert_int_equal(fixture.calls[4].verdict, ADMISSION_RUN);
	assert_int_equal(fixture.calls[5].verdict, ADMISSION_WAIT);
	assert_int_equal(
	    enter("quiet", ADMISSION_INTERACTIVE, 30)->verdict, ADMISSION_RUN);
	/* Without other tenants for long enough, "noisy" may use all slots. */
	leave(&fixture.calls[21], 40);
	admission_expire(fixture.admission, 30 * US_PER_S);
	assert_int_equal(
	    enter("noisy", ADMISSION_INTERACTIVE, 30 * US_PER_S)->verdict,
	    ADMISSION_WAIT);
	for (unsigned i = 0; i < 20; i++)
		(void)enter("noisy", ADMISSION_INTERACTIVE, 45 * US_PER_S);
	assert_int_equal(fixture.calls[26].verdict, ADMISSION_RUN);
	assert_int_equal(fixture.calls[27].verdict, ADMISSION_WAIT);
	fixture_finish();
}

static void
idle_tenants_are_removed(void **state ATTR_UNUSED)
{
	fixture_init(NEVER, NEVER, 10);
	for (unsigned i = 0; i < 10000; i++) {
		struct admission_tenant_params limits = {
		    .calls_per_s = 10, .burst = 1};
		char name[16];

		(void)snprintf(name, sizeof(name), "t%u", i);
		leave(enter_limited(
			  name, ADMISSION_INTERACTIVE, i * US_PER_MS, limits),
		    i * US_PER_MS + 500);
	}
	/*
	 * A bucket is full again after 100 ms, in which 100 tenants arrive,
	 * and each new tenant checks two idle ones.
	 */
	assert_in_range(admission_tenant_count(fixture.admission), 1, 200);
	fixture_finish();
}

static void
few_idle_tenants_are_kept(void **state ATTR_UNUSED)
{
	fixture_init(NEVER, NEVER, 10);
	for (unsigned i = 0; i < 1000; i++) {
		char name[16];

		(void)snprintf(name, sizeof(name), "t%u", i % 20);
		leave(enter(name, ADMISSION_INTERACTIVE, i * US_PER_S),
		    i * US_PER_S + 10);
	}
	assert_int_equal(admission_tenant_count(fixture.admission), 20);
	fixture_finish();
}

static void
removal_does_not_refill_token_bucket(void **state ATTR_UNUSED)
{
	struct admission_tenant_params slow = {.calls_per_s = 1, .burst = 1};
	struct admission_tenant_params other = {.weight = 1};

	fixture_init(NEVER, NEVER, 10);
	leave(enter_limited("slow", ADMISSION_INTERACTIVE, 0, slow), 10);
	for (unsigned i = 0; i < 100; i++) {
		char name[16];

		(void)snprintf(name, sizeof(name), "t%u", i);
		leave(
		    enter_limited(name, ADMISSION_INTERACTIVE, 20, other), 30);
	}
	assert_int_equal(
	    enter_limited("slow", ADMISSION_INTERACTIVE, 40, slow)->reason,
	    REFUSAL_RATE_LIMITED);
	fixture_finish();
}

/*
 * Random calls of random tenants: the limits hold at every step, every call
 * ends exactly once, and none waits longer than allowed.
 */
static void
limits_hold_under_random_calls(void **state ATTR_UNUSED)
{
	enum {
		RUNNING = 5,
		BULK = 2,
		QUEUE = 12,
		TENANT_RUNNING = 3
	};
	struct random random;
	uint64_t now_us = 0;

	random_seed(&random, 11);
	fixture_init(RUNNING, BULK, QUEUE);
	for (unsigned step = 0; step < 4 * CALLS_MAX; step++) {
		struct admission_tenant_params limits = {
		    .weight = 1 + (uint32_t)random_below(&random, 3),
		    .running_max = TENANT_RUNNING};
		char tenant[2] = {(char)('a' + random_below(&random, 6)), 0};
		unsigned pick;
		uint32_t running;
		uint32_t waiting;

		now_us += random_below(&random, 50000);
		if (fixture.count < CALLS_MAX && random_below(&random, 2) == 0)
			(void)enter_limited(tenant,
			    (enum admission_class)random_below(&random, 2),
			    now_us, limits);
		if (fixture.count == 0)
			continue;
		pick = fixture.count - 1 -
		    (unsigned)random_below(
			&random, fixture.count < 40 ? fixture.count : 40);
		admission_expire(fixture.admission, now_us);
		if (fixture.calls[pick].verdict == ADMISSION_RUN) {
			leave(&fixture.calls[pick], now_us);
			fixture.calls[pick].verdict = ADMISSION_REFUSED;
		} else if (fixture.calls[pick].verdict == ADMISSION_WAIT &&
		    random_below(&random, 4) == 0) {
			admission_abandon(fixture.admission,
			    fixture.calls[pick].ticket, now_us);
			fixture.calls[pick].verdict = ADMISSION_REFUSED;
		}
		admission_totals(fixture.admission, &running, &waiting);
		assert_true(running <= RUNNING);
		assert_true(waiting <= QUEUE);
	}
	for (unsigned i = 0; i < fixture.count; i++) {
		if (fixture.calls[i].verdict != ADMISSION_RUN)
			continue;
		leave(&fixture.calls[i], now_us);
		fixture.calls[i].verdict = ADMISSION_REFUSED;
	}
	admission_expire(fixture.admission, now_us + 2 * WAIT_US);
	for (unsigned i = 0; i < fixture.count; i++) {
		if (fixture.calls[i].verdict == ADMISSION_RUN) {
			leave(&fixture.calls[i], now_us);
			fixture.calls[i].verdict = ADMISSION_REFUSED;
		}
		assert_int_equal(fixture.calls[i].verdict, ADMISSION_REFUSED);
	}
	fixture_finish();
}

static void
heap_returns_nodes_in_order(void **state ATTR_UNUSED)
{
	enum {
		NODES = 500
	};
	static struct heap_node nodes[NODES];
	struct heap heap = {0};
	struct random random;
	double last = -1.0;

	random_seed(&random, 3);
	for (unsigned i = 0; i < NODES; i++)
		heap_node_init(&nodes[i]);
	for (unsigned i = 0; i < 20 * NODES; i++) {
		struct heap_node *node = &nodes[random_below(&random, NODES)];

		if (random_below(&random, 3) == 0)
			heap_remove(&heap, node);
		else
			heap_set(&heap, node, random_unit(&random));
	}
	while (heap.count > 0) {
		struct heap_node *first = heap_first(&heap);

		assert_true(first->key >= last);
		last = first->key;
		heap_remove(&heap, first);
		assert_false(heap_contains(first));
	}
	assert_null(heap_first(&heap));
	heap_free(&heap);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rate_limit_refusal_has_retry_after),
	    cmocka_unit_test(tenant_is_limited_to_its_slots),
	    cmocka_unit_test(bulk_calls_leave_slots_for_interactive),
	    cmocka_unit_test(waits_end_at_deadline_or_longest_wait),
	    cmocka_unit_test(abandoned_calls_are_not_woken),
	    cmocka_unit_test(full_queue_evicts_from_longest_flow),
	    cmocka_unit_test(slot_time_is_shared_by_weight),
	    cmocka_unit_test(running_long_call_is_charged),
	    cmocka_unit_test(reserve_admits_idle_tenant),
	    cmocka_unit_test(idle_tenants_are_removed),
	    cmocka_unit_test(few_idle_tenants_are_kept),
	    cmocka_unit_test(removal_does_not_refill_token_bucket),
	    cmocka_unit_test(limits_hold_under_random_calls),
	    cmocka_unit_test(heap_returns_nodes_in_order),
	};

	return cmocka_run_group_tests_name("admission", tests, NULL, NULL);
}
