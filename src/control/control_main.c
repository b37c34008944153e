/*
 * gypsummill-control: one instance of the control group, which keeps the
 * document, the registry of targets and the claims of non-idempotent requests.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include <unistd.h>

#include <urcu.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/settings.h"
#include "base/signals.h"
#include "control/control.h"
#include "control/operators.h"

static struct control_settings settings = {
    .log_level = (char *)"info",
    .log_file = (char *)"",
    .election_ms = 1000,
    .heartbeat_ms = 150,
    .snapshot_entries = 10000,
};

static const struct setting entries[] = {
    {.name = "instance",
	.group = "Instance",
	.kind = SETTING_TEXT,
	.value = &settings.instance,
	.unit = "NAME",
	.help = "Name of this instance",
	.required = true},
    {.name = "failure-domain",
	.group = "Instance",
	.kind = SETTING_TEXT,
	.value = &settings.failure_domain,
	.unit = "NAME",
	.help = "Failure domain of this instance",
	.required = true},
    {.name = "replica-id",
	.group = "Instance",
	.kind = SETTING_NUMBER,
	.value = &settings.replica_id,
	.unit = "ID",
	.help = "Id of this replica; use a new one after losing its disk",
	.min = 1,
	.max = UINT64_C(1) << 48,
	.required = true},
    {.name = "link-listen",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &settings.link_listen,
	.unit = "IP:PORT",
	.help = "Listen address for entries and other replicas",
	.required = true},
    {.name = "operator-listen",
	.group = "Addresses",
	.kind = SETTING_ADDRESS,
	.value = &settings.operator_listen,
	.unit = "IP:PORT",
	.help = "Listen address for operators (HTTP API, health, metrics)",
	.required = true},
    {.name = "operator-certificate",
	.group = "Security",
	.kind = SETTING_TEXT,
	.value = &settings.operator_certificate,
	.unit = "FILE",
	.help = "Certificate and key (PEM) for HTTPS; without it plain HTTP"},
    {.name = "max-connections-per-address",
	.group = "Addresses",
	.kind = SETTING_NUMBER,
	.value = &settings.connections_per_address,
	.unit = "connections",
	.help = "Operators' connections of one address; 0: half while others "
		"are connected",
	.min = 0,
	.max = 8192},
    {.name = "members",
	.group = "Group",
	.kind = SETTING_TEXT,
	.value = &settings.members,
	.unit = "ID=IP:PORT,...",
	.help = "Initial members of a new group; omit to join as a learner"},
    {.name = "data",
	.group = "Instance",
	.kind = SETTING_DIRECTORY,
	.value = &settings.data,
	.unit = "FOLDER",
	.help = "Data folder; not shared with other instances",
	.required = true},
    {.name = "keys",
	.group = "Security",
	.kind = SETTING_DIRECTORY,
	.value = &settings.keys,
	.unit = "FOLDER",
	.help = "Key folder; without it links are not encrypted"},
    {.name = "bootstrap-token",
	.group = "Security",
	.kind = SETTING_TEXT,
	.value = &settings.bootstrap_token,
	.unit = "TOKEN",
	.help = "May apply the first fleet section; best set by environment"},
    {.name = "election",
	.group = "Group",
	.kind = SETTING_NUMBER,
	.value = &settings.election_ms,
	.unit = "ms",
	.help = "Silence of the leader after which an election starts",
	.min = 100,
	.max = 60000},
    {.name = "heartbeat",
	.group = "Group",
	.kind = SETTING_NUMBER,
	.value = &settings.heartbeat_ms,
	.unit = "ms",
	.help = "Interval of the leader's heartbeats to other replicas",
	.min = 10,
	.max = 10000},
    {.name = "snapshot-entries",
	.group = "Group",
	.kind = SETTING_NUMBER,
	.value = &settings.snapshot_entries,
	.unit = "entries",
	.help = "Log entries between snapshots",
	.min = 100,
	.max = 10000000},
    {.name = "log-level",
	.group = "Logs",
	.kind = SETTING_CHOICE,
	.value = &settings.log_level,
	.unit = "LEVEL",
	.help = "error, warn, info or debug",
	.allowed = "error|warn|info|debug"},
    {.name = "log-file",
	.group = "Logs",
	.kind = SETTING_TEXT,
	.value = &settings.log_file,
	.unit = "FILE",
	.help = "Log file; default: standard error"},
};

/* Checks settings that depend on each other. */
static int
check_settings(void)
{
	if (settings.heartbeat_ms * 3 <= settings.election_ms)
		return 0;
	fprintf(stderr,
	    "setting --heartbeat (GYPSUMMILL_HEARTBEAT): %llu ms is more than "
	    "a third of --election, %llu ms\n",
	    (unsigned long long)settings.heartbeat_ms,
	    (unsigned long long)settings.election_ms);
	return 1;
}

/* How often the signal thread checks whether the loop has ended. */
static const uint64_t signal_poll_us = 100 * US_PER_MS;

static struct control *control;
static struct operators *operators;

static atomic_bool stopped;

/*
 * Waits for signals on a separate thread: the first SIGTERM stops the loop, a
 * second one ends the process at once.
 */
static void *
watch_signals(void *arg)
{
	const sigset_t *set = arg;
	bool stopping = false;

	while (!atomic_load(&stopped)) {
		if (!signals_wait(set, signal_poll_us))
			continue;
		if (stopping)
			_exit(EX_OK);
		stopping = true;
		control_stop(control);
	}
	return NULL;
}

/*
 * Reports a failed start on standard error and in the log, and returns the exit
 * code of the program.
 */
static int
report_start_failure(const char *what)
{
	fprintf(stderr, "gypsummill-control: %s: %s\n", what, status_message());
	log_error("start_failed", "instance=%s what=%s reason=\"%s\"",
	    settings.instance, what, status_message());
	return EX_UNAVAILABLE;
}

/*
 * Runs the instance until it is stopped.  The signal thread ends before the
 * control that it stops is closed.  Returns the exit code of the program.
 */
static int
run_instance(sigset_t *set)
{
	pthread_t watcher;

	if (control_open(&settings, &control) != STATUS_OK)
		return report_start_failure("control");
	if (operators_open(&settings, control, &operators) != STATUS_OK) {
		control_close(control);
		return report_start_failure("operators");
	}
	pthread_create(&watcher, NULL, watch_signals, set);
	log_info("started",
	    "instance=%s failure_domain=%s replica=%llu version=%s",
	    settings.instance, settings.failure_domain,
	    (unsigned long long)settings.replica_id, GYPSUMMILL_VERSION);
	control_run(control);
	operators_close(operators);
	atomic_store(&stopped, true);
	pthread_join(watcher, NULL);
	control_close(control);
	log_info("stopped", "instance=%s", settings.instance);
	return EX_OK;
}

/*
 * Reads settings, opens the log, and blocks the signals before any thread
 * starts, so that only watch_signals() gets them.
 */
int
main(int argc, char **argv)
{
	const struct settings all = {
	    .program = "gypsummill-control",
	    .summary = "One instance of gypsummill's control group: the "
		       "accepted document,\nthe registry of targets and the "
		       "claims, kept durable by a replicated log.",
	    .entries = entries,
	    .count = sizeof(entries) / sizeof(entries[0]),
	    .check = check_settings,
	};
	sigset_t set;
	int code;

	settings_parse(&all, &argc, &argv);
	/* Before the log is opened: a reader of the log may send a signal. */
	signals_block(&set);
	if (logger_open("gypsummill-control", settings.log_level,
		settings.log_file) != STATUS_OK) {
		fprintf(stderr, "gypsummill-control: %s\n", status_message());
		return EX_CONFIG;
	}
	rcu_register_thread();
	code = run_instance(&set);
	rcu_unregister_thread();
	logger_close();
	return code;
}
