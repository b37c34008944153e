/*
 * Opens many links to a control group, as many entries would, keeps them open
 * for a time and prints the cost per link: heartbeats, bytes, CPU time and
 * installed changes.  The links may also announce targets.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <urcu.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/memory.h"
#include "base/settings.h"
#include "link/link.h"

enum {
	NAME_BYTES = 32,
	ADDRESS_BYTES = 32,
	READY_POLLS = 3000
};

static char *controls;
static char *keys;
static uint64_t links = 8;
static uint64_t targets;
static uint64_t seconds = 5;
static uint64_t heartbeat_ms = 300;

struct simulated_entry {
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	struct link *link;
	_Atomic uint64_t changes;
	_Atomic uint64_t index;
};

static const struct setting entries[] = {
    {.name = "controls",
	.kind = SETTING_ADDRESS_LIST,
	.value = &controls,
	.unit = "IP:PORT,...",
	.help = "Link addresses of the control group",
	.required = true},
    {.name = "keys",
	.kind = SETTING_DIRECTORY,
	.value = &keys,
	.unit = "FOLDER",
	.help = "Folder of the keys"},
    {.name = "links",
	.kind = SETTING_NUMBER,
	.value = &links,
	.unit = "links",
	.help = "Links to open",
	.min = 1,
	.max = 255},
    {.name = "targets",
	.kind = SETTING_NUMBER,
	.value = &targets,
	.unit = "targets",
	.help = "Targets to announce over all links",
	.max = 10000},
    {.name = "seconds",
	.kind = SETTING_NUMBER,
	.value = &seconds,
	.unit = "s",
	.help = "Time to keep the links open",
	.min = 1,
	.max = 60},
    {.name = "heartbeat",
	.kind = SETTING_NUMBER,
	.value = &heartbeat_ms,
	.unit = "ms",
	.help = "Time between heartbeats",
	.min = 100,
	.max = 60000},
};

static void
on_reset(void *ctx)
{
	(void)ctx;
}

static void
on_change(void *ctx, const Wire__Change *change)
{
	struct simulated_entry *entry = ctx;

	(void)change;
	entry->changes++;
}

static void
on_installed(void *ctx, uint64_t term, uint64_t index)
{
	struct simulated_entry *entry = ctx;

	(void)term;
	entry->index = index;
}

static void
on_lease(void *ctx, uint64_t until_us, uint32_t divisor)
{
	(void)ctx;
	(void)until_us;
	(void)divisor;
}

static void
on_entries(void *ctx, Wire__EntryInfo *const *infos, size_t count)
{
	(void)ctx;
	(void)infos;
	(void)count;
}

static void
on_claim_ended(void *ctx, const Wire__ClaimEnded *ended)
{
	(void)ctx;
	(void)ended;
}

static void
on_query(void *ctx, const Wire__Query *query, struct str_buf *json)
{
	(void)ctx;
	(void)query;
	str_buf_append_c(json, "{}");
}

static uint32_t
on_spare_eighths(void *ctx)
{
	(void)ctx;
	return 8;
}

static bool
open_link(struct simulated_entry *entry, unsigned number)
{
	struct link_settings settings = {
	    .entry = entry->name,
	    .address = entry->address,
	    .failure_domain = "north",
	    .incarnation = clock_wall_us(),
	    .controls = controls,
	    .keys = keys,
	    .key_name = "entry",
	    .heartbeat_us = heartbeat_ms * US_PER_MS,
	};
	struct link_callbacks callbacks = {
	    .ctx = entry,
	    .reset = on_reset,
	    .change = on_change,
	    .installed = on_installed,
	    .lease = on_lease,
	    .entries = on_entries,
	    .claim_ended = on_claim_ended,
	    .query = on_query,
	    .spare_eighths = on_spare_eighths,
	};

	snprintf(entry->name, sizeof(entry->name), "fleet-%u", number);
	snprintf(entry->address, sizeof(entry->address), "127.0.0.1:%u",
	    20000 + number);
	return link_open(&settings, &callbacks, &entry->link) == STATUS_OK;
}

static bool
wait_ready(const struct simulated_entry *fleet)
{
	for (int poll = 0; poll < READY_POLLS; poll++) {
		uint64_t ready = 0;

		for (uint64_t i = 0; i < links; i++)
			ready += link_lease_until_us(fleet[i].link) >
			    clock_monotonic_us();
		if (ready == links)
			return true;
		clock_sleep_us(10 * US_PER_MS);
	}
	return false;
}

static bool
announce(struct simulated_entry *entry, unsigned number)
{
	Wire__Target target = WIRE__TARGET__INIT;
	Wire__TargetPut put = WIRE__TARGET_PUT__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	Wire__Result *result = NULL;
	char id[NAME_BYTES], service[NAME_BYTES], address[ADDRESS_BYTES];
	enum status status;

	snprintf(id, sizeof(id), "target-%u", number);
	snprintf(service, sizeof(service), "service-%u", number % 330);
	snprintf(address, sizeof(address), "10.0.%u.%u:80", number / 250,
	    number % 250 + 1);
	target.id = id;
	target.service = service;
	target.address = address;
	target.failure_domain = (char *)"north";
	target.slots = 4;
	target.connections = 250;
	target.holder = entry->name;
	target.incarnation = 1;
	target.sequence = 1;
	put.target = &target;
	command.body_case = WIRE__COMMAND__BODY_TARGET_PUT;
	command.target_put = &put;
	status = link_propose(entry->link, &command,
	    clock_monotonic_us() + 5 * US_PER_S, &result);
	link_result_free(result);
	return status == STATUS_OK;
}

static int64_t
counter_value(const char *name)
{
	return counter_get(counter_register(COUNTER_TOTAL, name, "", NULL));
}

static double
cpu_seconds(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static void
measure(const struct simulated_entry *fleet)
{
	int64_t sent = counter_value("gypsummill_link_sent_bytes_total");
	int64_t received =
	    counter_value("gypsummill_link_received_bytes_total");
	int64_t beats = counter_value("gypsummill_link_heartbeats_total");
	double cpu = cpu_seconds();
	double per = (double)links * (double)seconds;
	uint64_t changes = 0;

	printf("ready\n");
	fflush(stdout);
	clock_sleep_us(seconds * US_PER_S);
	sent = counter_value("gypsummill_link_sent_bytes_total") - sent;
	received =
	    counter_value("gypsummill_link_received_bytes_total") - received;
	beats = counter_value("gypsummill_link_heartbeats_total") - beats;
	cpu = cpu_seconds() - cpu;
	for (uint64_t i = 0; i < links; i++)
		changes += fleet[i].changes;
	printf("links=%llu sent_bytes_per_s=%.1f received_bytes_per_s=%.1f "
	       "heartbeats_per_s=%.2f core_percent=%.3f changes=%llu\n",
	    (unsigned long long)links, (double)sent / per,
	    (double)received / per, (double)beats / per, 100.0 * cpu / per,
	    (unsigned long long)changes);
}

int
main(int argc, char **argv)
{
	const struct settings all = {
	    .program = "bench_link_fleet",
	    .summary = "Opens many links to a control group.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	};
	struct simulated_entry *fleet;
	int code = 0;

	settings_parse(&all, &argc, &argv);
	rcu_register_thread();
	fleet = mem_calloc(links, sizeof(*fleet));
	for (unsigned i = 0; i < links; i++) {
		if (!open_link(&fleet[i], i))
			return 1;
	}
	if (!wait_ready(fleet))
		code = 1;
	for (unsigned i = 0; code == 0 && i < targets; i++) {
		if (!announce(&fleet[i % links], i))
			code = 1;
	}
	if (code == 0)
		measure(fleet);
	for (uint64_t i = 0; i < links; i++)
		link_close(fleet[i].link);
	mem_free(fleet);
	rcu_unregister_thread();
	return code;
}
