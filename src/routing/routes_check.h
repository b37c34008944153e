/*
 * Checks an accepted document for entries that can never match and for limits
 * that contradict each other.  Pure: it decides from the document and from what
 * the caller knows about the deployment.
 */
#ifndef ROUTING_ROUTES_CHECK_H
#define ROUTING_ROUTES_CHECK_H

#include "routing/report.h"
#include "routing/routes.h"

/* What is known about the deployment. */
struct routes_check_options {
	/* repeats per first send that the entries allow; below 0: unknown */
	double repeat_ratio;
	/* repeats that they allow besides, in a window of the budget */
	double repeat_slack;
	/* name of a service -> double, requests a second; NULL: unknown */
	GHashTable *capacity;
	/* bytes of a request's head that a key needs besides itself */
	size_t key_header_bytes;
};

/* Appends errors and warnings to a report. */
void routes_check(const struct routes *routes,
    const struct routes_check_options *options,
    GPtrArray *report) ATTR_NONNULL_ALL;

#endif
