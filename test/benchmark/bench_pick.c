/*
 * Wall time of a pick and its end, with growing numbers of targets, services
 * and threads.  The times are only printed; the check is on the number of
 * targets examined per pick.  With a number of targets as argument only that
 * configuration is run, for profiling.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <linux/perf_event.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <urcu.h>

#include "balance/balance.h"
#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"

enum {
	PICKS = 200000,
	OUTSTANDING = 4, /* per thread */
	THREADS_MAX = 8,
	SERVICES_MAX = 330,
	EXAMINED_PER_PICK_MAX = 64 /* limit for any number of targets */
};

struct bench {
	struct balancer *balancers[SERVICES_MAX];
	uint32_t services;
	_Atomic uint64_t clock_us;
};

struct runner {
	struct bench *bench;
	uint64_t seed;
};

static struct balancer *
make_balancer(enum balance_policy policy, uint32_t targets, uint64_t seed)
{
	struct balance_params params = {
	    .policy = policy,
	    .eject_percent = 30,
	    .entries = 17,
	    .failure_domain = STR_LITERAL("fd0"),
	    .seed = seed,
	};
	struct balancer *balancer = balancer_new(&params);

	for (uint32_t i = 0; i < targets; i++) {
		char id[16];
		char domain[8];

		snprintf(id, sizeof(id), "t%u", i);
		snprintf(domain, sizeof(domain), "fd%u", i % 9);
		balancer_upsert(balancer,
		    &(struct balance_target_info){
			.id = str_from(id),
			.address = str_from(id),
			.failure_domain = str_from(domain),
			.slots = 4,
			.connections = 100,
		    },
		    1);
	}
	return balancer;
}

static void
finish_ticket(struct bench *bench, struct balancer *balancer,
    struct balance_ticket *ticket, struct random *random)
{
	struct balance_report report = {
	    .in_flight = (uint32_t)random_below(random, 5), .slots = 4};

	balancer_finish(balancer, ticket, BALANCE_ANSWERED,
	    atomic_fetch_add(&bench->clock_us, 20), &report);
}

static void *
run_picks(void *arg)
{
	struct runner *runner = arg;
	struct bench *bench = runner->bench;
	struct balance_ticket tickets[OUTSTANDING];
	struct balancer *owners[OUTSTANDING];
	struct balance_call call = {0};
	struct random random;

	rcu_register_thread();
	random_seed(&random, runner->seed);
	for (uint32_t i = 0; i < PICKS; i++) {
		uint32_t slot = i % OUTSTANDING;
		uint64_t now = atomic_fetch_add(&bench->clock_us, 20);
		uint64_t wait_us;

		if (i >= OUTSTANDING)
			finish_ticket(
			    bench, owners[slot], &tickets[slot], &random);
		owners[slot] =
		    bench->balancers[random_below(&random, bench->services)];
		if (balancer_pick(owners[slot], &call, now, &tickets[slot],
			&wait_us) != BALANCE_PICKED)
			abort();
	}
	for (uint32_t slot = 0; slot < OUTSTANDING; slot++)
		finish_ticket(bench, owners[slot], &tickets[slot], &random);
	rcu_unregister_thread();
	return NULL;
}

/*
 * Opens a counter of the instructions of this process; returns -1 on failure.
 */
static int
open_instructions(void)
{
	struct perf_event_attr attr = {
	    .type = PERF_TYPE_HARDWARE,
	    .size = sizeof(attr),
	    .config = PERF_COUNT_HW_INSTRUCTIONS,
	    .inherit = 1,
	    .exclude_kernel = 1,
	    .exclude_hv = 1,
	};

	return (int)syscall(SYS_perf_event_open, &attr, 0, -1, -1, 0);
}

static uint64_t
read_counter(int fd)
{
	uint64_t value = 0;

	if (fd < 0 || read(fd, &value, sizeof(value)) != sizeof(value))
		return 0;
	return value;
}

/*
 * Runs one configuration and prints its row.  Returns the number of targets
 * examined per pick.
 */
static double
measure(enum balance_policy policy, uint32_t targets, uint32_t services,
    uint32_t threads, int instructions)
{
	struct bench *bench = mem_calloc(1, sizeof(*bench));
	struct runner runners[THREADS_MAX];
	pthread_t ids[THREADS_MAX];
	uint64_t examined = 0;
	uint64_t started, instructions_used;
	double picks = (double)PICKS * threads;
	double ns, per_pick;

	bench->services = services;
	atomic_store(&bench->clock_us, 1000);
	for (uint32_t i = 0; i < services; i++)
		bench->balancers[i] = make_balancer(policy, targets, i + 1);
	instructions_used = read_counter(instructions);
	started = clock_monotonic_ns();
	for (uint32_t i = 0; i < threads; i++) {
		runners[i] = (struct runner){.bench = bench, .seed = i + 1};
		pthread_create(&ids[i], NULL, run_picks, &runners[i]);
	}
	for (uint32_t i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	ns = (double)(clock_monotonic_ns() - started);
	instructions_used = read_counter(instructions) - instructions_used;
	for (uint32_t i = 0; i < services; i++) {
		examined += balancer_targets_examined(bench->balancers[i]);
		balancer_free(bench->balancers[i]);
	}
	mem_free(bench);
	per_pick = (double)examined / picks;
	printf("%-16s %8u %8u %8u %10.0f %12.0f %10.1f\n",
	    balance_policy_name(policy), targets, services, threads,
	    ns * threads / picks, (double)instructions_used / picks, per_pick);
	return per_pick;
}

int
main(int argc, char **argv)
{
	static const uint32_t targets[] = {16, 100, 330, 1000, 3100};
	static const uint32_t services[] = {2, 33, 330};
	int instructions = open_instructions();
	double max_examined = 0.0;

	rcu_register_thread();
	if (instructions < 0)
		printf("instructions can't be counted on this machine: 0\n");
	printf("%-16s %8s %8s %8s %10s %12s %10s\n", "policy", "targets",
	    "services", "threads", "ns a pick", "instructions", "examined");
	if (argc > 1) {
		measure(BALANCE_EXPECTED_DELAY,
		    (uint32_t)strtoul(argv[1], NULL, 10), 1, 1, instructions);
		return 0;
	}
	for (size_t i = 0; i < 5; i++) {
		double examined = measure(
		    BALANCE_EXPECTED_DELAY, targets[i], 1, 1, instructions);

		max_examined =
		    examined > max_examined ? examined : max_examined;
		measure(
		    BALANCE_LEAST_IN_FLIGHT, targets[i], 1, 1, instructions);
	}
	for (size_t i = 0; i < 3; i++)
		measure(
		    BALANCE_EXPECTED_DELAY, 9, services[i], 1, instructions);
	for (uint32_t threads = 1; threads <= THREADS_MAX; threads *= 2)
		measure(BALANCE_EXPECTED_DELAY, 16, 1, threads, instructions);
	for (uint32_t threads = 1; threads <= THREADS_MAX; threads *= 2)
		measure(BALANCE_EXPECTED_DELAY, 9, 330, threads, instructions);
	printf("targets examined a pick: at most %.1f, bound %d\n",
	    max_examined, EXAMINED_PER_PICK_MAX);
	rcu_barrier();
	rcu_unregister_thread();
	return max_examined > EXAMINED_PER_PICK_MAX;
}
