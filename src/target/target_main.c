/*
 * gypsummill-target: a mock target for tests and the demo.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "base/call_header.h"
#include "base/clock.h"
#include "base/logger.h"
#include "base/settings.h"
#include "base/signals.h"
#include "base/web.h"
#include "target/announcer.h"
#include "target/mock_target.h"

enum {
	REQUEST_TIMEOUT_MS = 30000,
	KEEP_ALIVE_MS = 60000,
	DRAIN_MIN_MS = 4000, /* for the entries to receive the state */
	POLL_MS = 20,
	EXIT_IO = 74 /* EX_IOERR */
};

static const uint64_t linger_max_us = 60 * US_PER_S;

static char *listen_address = (char *)"127.0.0.1:0";
static char *entries;
static char *id = (char *)"target-1";
static char *service = (char *)"ordering";
static char *failure_domain = (char *)"a";
static char *log_level = (char *)"info";
static uint64_t slots = 4;
static uint64_t connections = 250;
static uint64_t queue_max = 16;
static uint64_t service_us = 2000;
static uint64_t answer_bytes = 512;
static uint64_t cold_ms;
static uint64_t retry_after_ms;
static char *leaving_header = (char *)CALL_HEADER_DRAINING;
static uint64_t renew_ms = 1000;
static uint64_t seed = 1;

static const struct setting setting_table[] = {
    {.name = "listen",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &listen_address,
	.help = "Address to serve on; port 0 picks a free one",
	.unit = "IP:PORT"},
    {.name = "entries",
	.group = "Addresses",
	.kind = SETTING_ADDRESS_LIST,
	.value = &entries,
	.help = "Entries to announce to; not announced when omitted",
	.unit = "IP:PORT,..."},
    {.name = "id",
	.group = "Target",
	.kind = SETTING_TEXT,
	.value = &id,
	.help = "Name of this target"},
    {.name = "service",
	.group = "Target",
	.kind = SETTING_TEXT,
	.value = &service,
	.help = "Service that this target provides"},
    {.name = "failure-domain",
	.group = "Target",
	.kind = SETTING_TEXT,
	.value = &failure_domain,
	.help = "Failure domain it runs in"},
    {.name = "slots",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &slots,
	.unit = "calls",
	.min = 1,
	.max = 1024,
	.help = "Calls executed at once"},
    {.name = "connections",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &connections,
	.unit = "connections",
	.min = 1,
	.max = 4096,
	.help = "Connections served at once"},
    {.name = "queue-max",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &queue_max,
	.unit = "calls",
	.min = 0,
	.max = 65536,
	.help = "Calls queued before further ones are rejected"},
    {.name = "retry-after",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &retry_after_ms,
	.unit = "ms",
	.min = 0,
	.max = 600000,
	.help = "Retry-After named when a call is rejected; 0: none"},
    {.name = "service-time",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &service_us,
	.unit = "us",
	.min = 0,
	.max = 60000000,
	.help = "Mean of the exponential service time"},
    {.name = "answer-size",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &answer_bytes,
	.unit = "bytes",
	.min = 0,
	.max = 1 << 30,
	.help = "Size of an answer when the call gives no size"},
    {.name = "cold-start",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &cold_ms,
	.unit = "ms",
	.min = 0,
	.max = 600000,
	.help = "Duration of the slow phase after the start"},
    {.name = "leaving-header",
	.group = "Announcements",
	.kind = SETTING_TEXT,
	.value = &leaving_header,
	.unit = "NAME",
	.help = "Header with value 1 in all answers once TERM was received, or "
		"the fault draining or leaving is set"},
    {.name = "renewal",
	.group = "Announcements",
	.kind = SETTING_NUMBER,
	.value = &renew_ms,
	.unit = "ms",
	.min = 50,
	.max = 60000,
	.help = "Time between announcements"},
    {.name = "seed",
	.group = "Work",
	.kind = SETTING_NUMBER,
	.value = &seed,
	.min = 0,
	.max = UINT64_MAX,
	.help = "Seed of the service times"},
    {.name = "log-level",
	.group = "Logs",
	.kind = SETTING_CHOICE,
	.value = &log_level,
	.allowed = "error|warn|info|debug",
	.help = "Lowest level logged"},
};

static struct announcer *announcer;

/*
 * Callback of the mock target when draining is switched on or off: announces
 * the change.
 */
static void
set_draining(void *ctx ATTR_UNUSED, bool draining)
{
	if (announcer != NULL)
		announcer_set_draining(announcer, draining);
}

/*
 * Prints the listening address, which a parent process reads, and starts the
 * announcer when entries are configured.
 */
static void
print_and_announce(uint16_t port)
{
	static char address[96];
	char ip[64];
	uint16_t ignored;

	if (!settings_parse_address(listen_address, ip, sizeof(ip), &ignored))
		return;
	snprintf(address, sizeof(address), "%s:%u", ip, port);
	printf("listening on %s\n", address);
	fflush(stdout);
	if (entries == NULL)
		return;
	announcer = announcer_new(&(struct announcer_settings){
	    .entries = entries,
	    .id = id,
	    .service = service,
	    .address = address,
	    .failure_domain = failure_domain,
	    .slots = slots,
	    .connections = connections,
	    .incarnation = clock_wall_us(),
	    .renew_ms = renew_ms,
	    .cold = cold_ms > 0,
	    .cold_ms = cold_ms,
	});
}

/*
 * Announces draining, keeps serving for at least DRAIN_MIN_MS and until idle,
 * then withdraws the announcement.  A signal ends the wait.
 */
static void
drain_and_withdraw(struct mock_target *target, const sigset_t *set)
{
	uint64_t drain_until_us =
	    clock_monotonic_us() + DRAIN_MIN_MS * US_PER_MS;

	if (announcer == NULL)
		return;
	atomic_store(&target->faults.draining, 1);
	announcer_set_draining(announcer, true);
	while (clock_monotonic_us() < drain_until_us ||
	    slots_in_flight(target->slots) > 0) {
		if (signals_wait(set, POLL_MS * US_PER_MS))
			break;
	}
	announcer_stop(announcer, true);
	log_info("target_left", "target=%s", id);
}

/*
 * Serves until SIGTERM or SIGINT, then drains.  Exits with EXIT_IO when the log
 * or the listening address cannot be opened.
 */
int
main(int argc, char **argv)
{
	static struct mock_target target;
	struct settings settings = {
	    .program = "gypsummill-target",
	    .summary = "A mock target for tests and the demo.",
	    .entries = setting_table,
	    .count = sizeof(setting_table) / sizeof(setting_table[0]),
	};
	struct web_server *server;
	sigset_t set;

	settings_parse(&settings, &argc, &argv);
	/* Before the log is opened: a reader of the log may send a signal. */
	signals_block(&set);
	if (logger_open("gypsummill-target", log_level, NULL) != STATUS_OK)
		return EXIT_IO;
	curl_global_init(CURL_GLOBAL_ALL);
	target.id = id;
	target.slots = slots_new((uint32_t)slots, (uint32_t)queue_max);
	target.executions = execution_table_new();
	target.service_us = service_us;
	target.answer_bytes = answer_bytes;
	target.started_us = clock_monotonic_us();
	target.cold_us = cold_ms * US_PER_MS;
	target.seed = seed;
	target.draining_changed = set_draining;
	target.leaving_header = leaving_header;
	faults_init(&target.faults, queue_max);
	atomic_store(&target.faults.retry_after_ms, retry_after_ms);
	if (web_start(
		&(struct web_settings){
		    .what = "target",
		    .address = listen_address,
		    .threads = (unsigned)connections,
		    .backlog = 128,
		    .request_timeout_ms = REQUEST_TIMEOUT_MS,
		    .keep_alive_ms = KEEP_ALIVE_MS,
		    .ctx = &target,
		    .serve = mock_target_serve,
		},
		&server) != STATUS_OK) {
		log_error("start_failed", "reason=\"%s\"", status_message());
		return EXIT_IO;
	}
	print_and_announce(web_port(server));
	signals_wait_term(&set);
	drain_and_withdraw(&target, &set);
	web_stop(server);
	(void)web_wait_for_callers(server, &set, linger_max_us);
	web_free(server);
	slots_free(target.slots);
	execution_table_free(target.executions);
	logger_close();
	return 0;
}
