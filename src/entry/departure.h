/*
 * Departures of targets that this entry has heard of in their answers, until
 * control knows them too and tells the other entries.  Thread-safe.
 */
#ifndef ENTRY_DEPARTURE_H
#define ENTRY_DEPARTURE_H

#include "base/status.h"
#include "registry/registry.h"

enum {
	/* More than leave at once in the largest fleet. */
	DEPARTURES_MAX = 4096
};

struct departures;

/* Outcomes of asking control to record a departure. */
enum departure_result {
	DEPARTURE_RECORDED,
	DEPARTURE_LATER, /* to be asked again */
	DEPARTURE_OBSOLETE /* a newer incarnation is known */
};

struct departures_params {
	void *ctx;
	/* Returns whether control can be asked now. */
	bool (*reachable)(void *ctx);
	/* Asks control to record a departure; may wait for the answer. */
	enum departure_result (*ask)(
	    void *ctx, struct str id, uint64_t incarnation);
};

struct departures *
departures_new(const struct departures_params *params) ATTR_NONNULL_ALL;
void departures_free(struct departures *departures);
/* Adds a departure that control may not know; a newer incarnation replaces. */
void departures_add(struct departures *departures, struct str id,
    uint64_t incarnation, uint64_t now_us) ATTR_NONNULL(1);
/* Control knows that an incarnation, and all before it, have departed. */
void departures_on_recorded(struct departures *departures, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1);
/* Asks control for the departures that are due; returns how many are left. */
uint32_t
departures_run(struct departures *departures, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
