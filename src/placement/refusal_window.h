/*
 * Whether nearly all targets of a service refuse requests: then resends would
 * only add to their load.  Counts the sends that ended within a short window.
 * Performs no I/O; the time is an argument.
 */
#ifndef PLACEMENT_REFUSAL_WINDOW_H
#define PLACEMENT_REFUSAL_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

enum {
	REFUSAL_WINDOW_US = 200 * 1000,
	REFUSAL_SLICES = 10, /* a tenth of the window is counted too long */
	/* fewer sends prove nothing about a service */
	REFUSAL_SENDS_MIN = 8
};

struct refusal_window {
	unsigned sends[REFUSAL_SLICES];
	unsigned refused[REFUSAL_SLICES];
	uint64_t slice; /* number of the current slice */
	bool refuses;
};

/* Counts a send that has ended, and whether its target refused to run it. */
void refusal_window_record(struct refusal_window *window, bool refused,
    uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Whether nine in ten sends were refused, until one in four is accepted again.
 */
bool refusal_window_refuses(
    struct refusal_window *window, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
