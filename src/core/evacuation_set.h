/*
 * The failure domains that are being evacuated, as the control group agrees on
 * them.  It performs no I/O and reads no clock.
 */
#ifndef CORE_EVACUATION_SET_H
#define CORE_EVACUATION_SET_H

#include <glib.h>
#include <stdbool.h>

#include "base/attr.h"
#include "wire/fleet.pb-c.h"

struct evacuation_set {
	uint64_t index; /* log index of the last change; 0: never changed */
	GPtrArray *names; /* of char, owned, sorted */
};

enum evacuation_change {
	EVACUATION_UNCHANGED,
	EVACUATION_CHANGED,
	EVACUATION_FULL, /* FLEET_EVACUATIONS_MAX names */
	EVACUATION_INVALID /* no valid name of a failure domain */
};

/* Visible ASCII without "/", below ROSTER_NAME_BYTES. */
bool evacuation_name_is_valid(const char *name) ATTR_NONNULL_ALL;

void evacuation_set_init(struct evacuation_set *set) ATTR_NONNULL_ALL;
void evacuation_set_destroy(struct evacuation_set *set) ATTR_NONNULL_ALL;
bool evacuation_set_has(
    const struct evacuation_set *set, const char *name) ATTR_NONNULL_ALL;
/* Starts or ends the evacuation of a failure domain. */
enum evacuation_change evacuation_set_apply(struct evacuation_set *set,
    uint64_t index, const char *name, bool active) ATTR_NONNULL_ALL;
/* Replaces the set; message may be NULL: none. */
void evacuation_set_load(struct evacuation_set *set,
    const Fleet__Evacuations *message) ATTR_NONNULL(1);
/* The set as a message, which borrows the names. */
Fleet__Evacuations
evacuation_set_message(const struct evacuation_set *set) ATTR_NONNULL_ALL;

#endif
