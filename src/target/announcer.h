/*
 * Announces a mock target to an entry and renews the announcement; switches to
 * the next entry when one fails.
 */
#ifndef TARGET_ANNOUNCER_H
#define TARGET_ANNOUNCER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

struct announcer_settings {
	const char *entries; /* IP:PORT,... */
	const char *id;
	const char *service;
	const char *address;
	const char *failure_domain;
	uint64_t slots;
	uint64_t connections;
	uint64_t incarnation;
	uint64_t renew_ms;
	bool cold; /* announced as cold for the first cold_ms */
	uint64_t cold_ms;
};

struct announcer;

struct announcer *
announcer_new(const struct announcer_settings *settings) ATTR_NONNULL_ALL;
/* Announces the new state immediately and at every renewal. */
void announcer_set_draining(
    struct announcer *announcer, bool draining) ATTR_NONNULL_ALL;
/* Stops renewing; withdraw also deletes the announcement. */
void
announcer_stop(struct announcer *announcer, bool withdraw) ATTR_NONNULL_ALL;

#endif
