/*
 * gypsummill-entry: serves callers and targets.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#include <curl/curl.h>
#include <sodium.h>
#include <urcu.h>

#include "base/call_header.h"
#include "base/clock.h"
#include "base/logger.h"
#include "base/settings.h"
#include "base/signals.h"
#include "entry/entry.h"
#include "entry/operators.h"
#include "entry/probe.h"
#include "entry/propose.h"
#include "entry/server.h"

enum {
	EXIT_UNAVAILABLE = 69,
	EXIT_IO = 74,
	ADDRESS_BYTES = 96,
	/*
	 * A caller that reads nothing keeps a thread for a second while others
	 * wait: 120 of them take 8 s.
	 */
	OPERATOR_THREADS = 16,
	OPERATOR_BACKLOG = 128, /* connections waiting for a thread */
	FILES_PER_CONNECTION = 6 /* for a caller and its upstream connection */
};

static const uint64_t task_interval_us = 100 * US_PER_MS;
static const uint64_t idle_min_us = 300 * US_PER_MS;
/* Half of the time that the service manager allows for a stop. */
static const uint64_t linger_max_us = 60 * US_PER_S;

static char *name;
static char *listen_address = (char *)"127.0.0.1:8080";
static char *advertise;
static char *metrics_listen = (char *)"127.0.0.1:9080";
static char *failure_domain;
static char *controls;
static char *keys;
static char *key_name = (char *)"entry";
static char *leaving_header;
static char *log_level = (char *)"info";
static char *log_file;
static uint64_t heartbeat_ms = 300;
static uint64_t connections_max = 512;
static uint64_t backlog = 256;
static uint64_t connections_per_address;
static uint64_t request_timeout_ms = 30000;
static uint64_t keep_alive_ms = 15000;
static uint64_t refusals_kept = 20000;
static uint64_t burn_keys = 4096;
static uint64_t seed;

static const struct setting all_settings[] = {
    {.name = "instance",
	.group = "Instance",
	.unit = "NAME",
	.kind = SETTING_TEXT,
	.value = &name,
	.required = true,
	.help = "Name of this instance"},
    {.name = "failure-domain",
	.group = "Instance",
	.kind = SETTING_TEXT,
	.value = &failure_domain,
	.unit = "NAME",
	.required = true,
	.help = "Failure domain it runs in"},
    {.name = "listen",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &listen_address,
	.unit = "IP:PORT",
	.help = "Address for callers and targets"},
    {.name = "advertise",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &advertise,
	.unit = "IP:PORT",
	.help = "Address for callers, if it differs from the listening one"},
    {.name = "metrics-listen",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &metrics_listen,
	.unit = "IP:PORT",
	.help = "Operators' address for metrics and health"},
    {.name = "controls",
	.group = "Control",
	.kind = SETTING_ADDRESS_LIST,
	.value = &controls,
	.required = true,
	.unit = "IP:PORT,...",
	.help = "The control group's link addresses"},
    {.name = "keys",
	.group = "Control",
	.kind = SETTING_DIRECTORY,
	.value = &keys,
	.unit = "FOLDER",
	.help = "Folder of the links' keys; none: no encryption"},
    {.name = "key-name",
	.group = "Control",
	.kind = SETTING_TEXT,
	.value = &key_name,
	.help = "Name of this instance's key pair in the folder"},
    {.name = "heartbeat",
	.group = "Control",
	.kind = SETTING_NUMBER,
	.value = &heartbeat_ms,
	.unit = "ms",
	.min = 20,
	.max = 10000,
	.help = "Time between heartbeats to control"},
    {.name = "connections-max",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &connections_max,
	.unit = "connections",
	.min = 4,
	.max = 8192,
	.help = "Callers' connections served, one thread each"},
    {.name = "max-connections-per-address",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &connections_per_address,
	.unit = "connections",
	.min = 0,
	.max = 8192,
	.help = "Connections of one address; 0: half while others are "
		"connected"},
    {.name = "backlog",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &backlog,
	.unit = "connections",
	.min = 1,
	.max = 4096,
	.help = "Connections waiting to be served"},
    {.name = "request-timeout",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &request_timeout_ms,
	.unit = "ms",
	.min = 100,
	.max = 3600000,
	.help = "Longest time without progress in a caller's request"},
    {.name = "keep-alive",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &keep_alive_ms,
	.unit = "ms",
	.min = 100,
	.max = 3600000,
	.help = "Lifetime of a caller's idle connection"},
    {.name = "refusals-kept",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &refusals_kept,
	.unit = "refusals",
	.min = 100,
	.max = 1000000,
	.help = "Refusals kept for later explanation"},
    {.name = "leaving-header",
	.group = "Targets",
	.kind = SETTING_TEXT,
	.value = &leaving_header,
	.unit = "NAME",
	.help = "Header with value 1 by which targets say that they leave, "
		"besides " CALL_HEADER_DRAINING},
    {.name = "burn-keys",
	.group = "Bounds",
	.kind = SETTING_NUMBER,
	.value = &burn_keys,
	.unit = "keys",
	.min = 16,
	.max = 1000000,
	.help = "Pairs of objective and tenant with burn counters"},
    {.name = "seed",
	.group = "Instance",
	.kind = SETTING_NUMBER,
	.value = &seed,
	.min = 0,
	.max = UINT64_MAX,
	.help = "Seed of random choices; 0: a random seed"},
    {.name = "log-level",
	.group = "Logs",
	.kind = SETTING_CHOICE,
	.value = &log_level,
	.allowed = "error|warn|info|debug",
	.help = "Lowest level logged"},
    {.name = "log-file",
	.group = "Logs",
	.kind = SETTING_TEXT,
	.value = &log_file,
	.unit = "FILE",
	.help = "Log file; none: standard error"},
};

static struct entry entry;
static atomic_bool stopping;

/* The link is about to send the complete state. */
static void
on_reset(void *ctx ATTR_UNUSED)
{
	view_reset(entry.views);
}

/* The link received one change; it is not in force yet. */
static void
on_change(void *ctx ATTR_UNUSED, const Wire__Change *change)
{
	view_apply_change(entry.views, change);
}

/* All changes up to an index were received: puts them in force together. */
static void
on_installed(void *ctx ATTR_UNUSED, uint64_t term, uint64_t index)
{
	view_install(entry.views, term, index);
}

/*
 * The lease was renewed or has expired.  Only the share is used here; the link
 * keeps the lease's end.
 */
static void
on_lease(void *ctx ATTR_UNUSED, uint64_t until_us ATTR_UNUSED,
    uint32_t share_divisor)
{
	view_set_divisor(entry.views, share_divisor);
}

/* The list of live entries changed. */
static void
on_entries(void *ctx ATTR_UNUSED, Wire__EntryInfo *const *entries, size_t count)
{
	view_set_entries(entry.views, entries, count);
}

/* A claim ended at any entry: wakes the calls that wait for it. */
static void
on_claim_ended(void *ctx ATTR_UNUSED, const Wire__ClaimEnded *ended)
{
	claim_client_on_ended(entry.claim_client, str_from(ended->tenant),
	    str_from(ended->service), str_from(ended->key));
}

/* Control forwarded an operator's query; writes the answer to json. */
static void
on_query(void *ctx ATTR_UNUSED, const Wire__Query *query, struct str_buf *json)
{
	operators_query(&entry, query->what, query->argument, json);
}

/*
 * Returns the smallest spare capacity of all services, in eighths.  Lookups
 * rate the entry as a whole, not per service.
 */
static uint32_t
on_spare_eighths(void *ctx ATTR_UNUSED)
{
	struct view *view = view_acquire(entry.views);
	uint32_t least = 8;

	for (uint32_t i = 0; view != NULL && i < view->service_count; i++) {
		uint32_t spare = service_spare_eighths(view->services[i]);

		if (spare < least)
			least = spare;
	}
	view_release(view);
	return least;
}

/* No target uses the address any more: closes its idle connections. */
static void
on_address_unused(void *ctx ATTR_UNUSED, struct str address)
{
	upstream_close_idle(entry.upstream, address);
}

/*
 * Control sent a target: its departure need not be proposed if control knows of
 * it, and a lease is kept for it if this entry is its holder.
 */
static void
on_target_received(void *ctx ATTR_UNUSED, const struct registry_target *target)
{
	if (target->state == REGISTRY_DRAINING)
		departures_on_recorded(
		    entry.departures, target->id, target->incarnation);
	if (str_equal_c(target->holder, name))
		announce_adopt(entry.announce, target->id, target->incarnation);
}

/* Returns whether control can be asked to record a departure. */
static bool
is_control_reachable(void *ctx ATTR_UNUSED)
{
	return entry_has_lease(&entry);
}

/* Asks control to record a departure. */
static enum departure_result
ask_departure(void *ctx ATTR_UNUSED, struct str id, uint64_t incarnation)
{
	return propose_departure(&entry, id, incarnation);
}

/*
 * The thread of periodic tasks: expires the leases of targets, proposes
 * departures and pending claim ends, and applies the ends of backoffs.
 */
static void *
run_periodic_tasks(void *ctx ATTR_UNUSED)
{
	rcu_register_thread();
	while (!atomic_load(&stopping)) {
		announce_expire(entry.announce, clock_monotonic_us());
		(void)departures_run(entry.departures, clock_monotonic_us());
		view_apply_backoffs(entry.views, clock_monotonic_us());
		(void)claim_client_flush(
		    entry.claim_client, clock_monotonic_us());
		clock_sleep_us(task_interval_us);
	}
	rcu_unregister_thread();
	return NULL;
}

/*
 * Raises the limit of open files to what connections_max needs, at most to the
 * hard limit; logs a failure.
 */
static void
raise_file_limit(void)
{
	struct rlimit limit;
	rlim_t wanted = connections_max * FILES_PER_CONNECTION + 256;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
		return;
	limit.rlim_cur = limit.rlim_max < wanted ? limit.rlim_max : wanted;
	if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
		log_warn(
		    "file_limit", "wanted=%llu", (unsigned long long)wanted);
}

/* Creates all parts of the entry except its servers and the link. */
static void
init_entry(void)
{
	entry.name = name;
	entry.failure_domain = failure_domain;
	entry.leaving_header = leaving_header;
	entry.incarnation = clock_wall_us();
	entry.seed = seed;
	if (seed == 0)
		randombytes_buf(&entry.seed, sizeof(entry.seed));
	entry_counters_init(&entry.counters);
	entry.upstream = upstream_new();
	entry.views = view_store_new(&(struct view_store_params){
	    .failure_domain = failure_domain,
	    .seed = entry.seed,
	    .address_unused = on_address_unused,
	    .target_received = on_target_received,
	});
	entry.departures = departures_new(&(struct departures_params){
	    .reachable = is_control_reachable,
	    .ask = ask_departure,
	});
	entry.notices = notices_new(&(struct notices_params){
	    .views = entry.views,
	    .departures = entry.departures,
	});
	entry.refusals = refusal_log_new(
	    str_from(name), entry.incarnation, (uint32_t)refusals_kept);
	entry.burn = burn_new((uint32_t)burn_keys);
	entry.announce = announce_new(&entry);
	entry.claim_client = claim_client_new(name, entry.incarnation);
	entry.crashes = crash_guard_new();
}

/*
 * Starts the server for callers and sets the entry's address: the advertised
 * one, or the one it listens on.
 */
static enum status
start_server(struct web_server **server)
{
	static char address[ADDRESS_BYTES];
	char ip[ADDRESS_BYTES / 2];
	uint16_t port;
	enum status status = web_start(
	    &(struct web_settings){
		.instance = name,
		.what = "callers",
		.address = listen_address,
		.threads = (unsigned)connections_max,
		.address_max = (unsigned)connections_per_address,
		.backlog = (unsigned)backlog,
		.request_timeout_ms = request_timeout_ms,
		.keep_alive_ms = keep_alive_ms,
		.ctx = &entry,
		.serve = server_serve,
		.thread_start = server_thread_start,
		.thread_end = server_thread_end,
		.malformed = server_malformed,
	    },
	    server);

	if (status != STATUS_OK)
		return status;
	if (advertise == NULL &&
	    settings_parse_address(listen_address, ip, sizeof(ip), &port)) {
		snprintf(
		    address, sizeof(address), "%s:%u", ip, web_port(*server));
		entry.address = address;
	} else {
		entry.address = advertise;
	}
	return STATUS_OK;
}

/* Starts the server for operators: metrics and health checks. */
static enum status
start_operators(struct web_server **server)
{
	return web_start(
	    &(struct web_settings){
		.instance = name,
		.what = "operators",
		.address = metrics_listen,
		.threads = OPERATOR_THREADS,
		.address_max = (unsigned)connections_per_address,
		.backlog = OPERATOR_BACKLOG,
		.request_timeout_ms = request_timeout_ms,
		.keep_alive_ms = keep_alive_ms,
		.ctx = &entry,
		.serve = operators_serve,
		.thread_start = server_thread_start,
		.thread_end = server_thread_end,
	    },
	    server);
}

/* Opens the link to control; its callbacks may run before this returns. */
static enum status
start_link(void)
{
	enum status status = link_open(
	    &(struct link_settings){
		.entry = name,
		.address = entry.address,
		.failure_domain = failure_domain,
		.incarnation = entry.incarnation,
		.controls = controls,
		.keys = keys,
		.key_name = key_name,
		.heartbeat_us = heartbeat_ms * US_PER_MS,
	    },
	    &(struct link_callbacks){
		.reset = on_reset,
		.change = on_change,
		.installed = on_installed,
		.lease = on_lease,
		.entries = on_entries,
		.claim_ended = on_claim_ended,
		.query = on_query,
		.spare_eighths = on_spare_eighths,
	    },
	    &entry.link);

	if (status != STATUS_OK)
		return status;
	claim_client_set_link(entry.claim_client, entry.link);
	atomic_store(&entry.started, true);
	return STATUS_OK;
}

/*
 * Returns how long (us) callers may still use cached lookup answers with this
 * entry after it began to leave: other entries learn of it within their lease,
 * and their answers may be cached for lookup_cache_ms.
 */
static uint64_t
lookup_lifetime_us(void)
{
	struct view *view = view_acquire(entry.views);
	uint64_t us = 0;

	if (view != NULL && view->policy->fleet != NULL)
		us = (view->policy->fleet->lease_ms +
			 view->policy->fleet->lookup_cache_ms) *
		    US_PER_MS;
	view_release(view);
	return us;
}

/*
 * Shuts down gracefully: marks the entry as leaving and continues to serve
 * until no lookup answer names it and it is idle.  Returns false on a second
 * SIGTERM.
 */
static bool
shut_down(const sigset_t *set)
{
	uint64_t until_us = clock_monotonic_us() + lookup_lifetime_us();
	uint64_t idle_since_us = 0;

	log_info("entry_leaving", "instance=%s failure_domain=%s", name,
	    failure_domain);
	atomic_store(&entry.leaving, true);
	link_set_leaving(entry.link);
	for (;;) {
		uint64_t now_us;

		if (signals_wait(set, task_interval_us))
			return false;
		now_us = clock_monotonic_us();
		if (now_us < until_us)
			continue;
		atomic_store(&entry.closing, true);
		if (counter_get(entry.counters.in_flight) > 0)
			idle_since_us = 0;
		else if (idle_since_us == 0)
			idle_since_us = now_us;
		else if (now_us - idle_since_us > idle_min_us)
			return true;
	}
}

/*
 * Frees the entry's parts, the link first because its callbacks use the others.
 */
static void
release_entry(void)
{
	link_close(entry.link);
	announce_free(entry.announce);
	claim_client_free(entry.claim_client);
	crash_guard_free(entry.crashes);
	notices_free(entry.notices);
	departures_free(entry.departures);
	view_store_free(entry.views);
	upstream_free(entry.upstream);
	refusal_log_free(entry.refusals);
	burn_free(entry.burn);
}

/*
 * Starts the servers and the link, serves until SIGTERM, and shuts down.
 * Returns the exit code.
 */
static int
run_entry(const sigset_t *set)
{
	struct web_server *server = NULL;
	struct web_server *operators = NULL;
	struct probe *probe;
	pthread_t tasks;
	bool stopped;

	if (start_server(&server) != STATUS_OK ||
	    start_operators(&operators) != STATUS_OK ||
	    start_link() != STATUS_OK) {
		log_error("start_failed", "reason=\"%s\"", status_message());
		return EXIT_IO;
	}
	pthread_create(&tasks, NULL, run_periodic_tasks, NULL);
	probe = probe_start(&entry);
	log_info("entry_started",
	    "instance=%s failure_domain=%s address=%s operators_port=%u", name,
	    failure_domain, entry.address, web_port(operators));
	printf("listening on %s, operators on port %u\n", entry.address,
	    web_port(operators));
	fflush(stdout);
	signals_wait_term(set);
	stopped = shut_down(set);
	if (stopped) {
		web_stop(server);
		stopped = web_wait_for_callers(server, set, linger_max_us);
		web_free(server);
	}
	if (!stopped) {
		log_warn("entry_stopped_at_once", "instance=%s", name);
		return EXIT_UNAVAILABLE;
	}
	atomic_store(&stopping, true);
	pthread_join(tasks, NULL);
	probe_stop(probe);
	web_free(operators);
	release_entry();
	log_info("entry_stopped", "instance=%s", name);
	return 0;
}

/* Reads the settings, prepares the process and runs the entry. */
int
main(int argc, char **argv)
{
	struct settings settings = {
	    .program = "gypsummill-entry",
	    .summary = "Serves callers and targets.",
	    .entries = all_settings,
	    .count = sizeof(all_settings) / sizeof(all_settings[0]),
	};
	sigset_t set;
	int status;

	settings_parse(&settings, &argc, &argv);
	/* Before the first log line: a reader of the log may send a signal. */
	signals_block(&set);
	if (logger_open("gypsummill-entry", log_level, log_file) != STATUS_OK ||
	    sodium_init() < 0) {
		fprintf(stderr, "gypsummill-entry: %s\n", status_message());
		return EXIT_IO;
	}
	curl_global_init(CURL_GLOBAL_ALL);
	raise_file_limit();
	rcu_register_thread();
	init_entry();
	status = run_entry(&set);
	rcu_unregister_thread();
	logger_close();
	return status;
}
