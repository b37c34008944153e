/*
 * The control process.  One loop thread owns the replica, the state machine and
 * the sockets; HTTP threads submit jobs to it.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdatomic.h>

#include "base/status.h"
#include "base/str.h"
#include "control/job.h"
#include "replica/replica.h"

struct control_settings {
	char *instance;
	char *failure_domain;
	char *link_listen; /* IP:PORT for entries and other replicas */
	char *operator_listen; /* IP:PORT for operators */
	char *operator_certificate; /* PEM file; NULL: no TLS */
	char *members; /* members of a new group: ID=IP:PORT,... */
	char *data; /* data folder */
	char *keys; /* key folder; NULL: no encryption */
	char *bootstrap_token; /* may create the first fleet section */
	char *log_level;
	char *log_file;
	uint64_t replica_id;
	uint64_t election_ms;
	uint64_t heartbeat_ms;
	uint64_t snapshot_entries;
	uint64_t connections_per_address; /* of operators; 0: the default */
};

struct control;

enum status control_open(const struct control_settings *settings,
    struct control **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Runs the loop until control_stop(). */
void control_run(struct control *control) ATTR_NONNULL_ALL;
/*
 * Stops the loop, which ends all jobs first.  May be called from any thread.
 */
void control_stop(struct control *control) ATTR_NONNULL_ALL;
void control_close(struct control *control);
/* Submits a job to the loop, which takes its own reference. */
void control_submit(struct control *control, struct job *job) ATTR_NONNULL_ALL;

#endif
