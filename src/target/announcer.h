/*
 * Announces a stand-in target to an entry and renews the announcement; moves
 * on to the next entry when one fails.
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
	bool cold; /* announced as cold at first */
	uint64_t cold_ms;
};

struct announcer;

struct announcer *
announcer_new(const struct announcer_settings *settings) ATTR_NONNULL_ALL;
/* Announces at once with the new state, then at every renewal. */
void announcer_set_draining(
    struct announcer *announcer, bool draining) ATTR_NONNULL_ALL;
/* Stops renewing; leave also removes the announcement. */
void
announcer_stop(struct announcer *announcer, bool withdraw) ATTR_NONNULL_ALL;

#endif
