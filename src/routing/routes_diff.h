/*
 * Differences between two accepted documents, by host, route, service and
 * account.  Of keys only the numbers are told.
 */
#ifndef ROUTING_ROUTES_DIFF_H
#define ROUTING_ROUTES_DIFF_H

#include "routing/report.h"
#include "routing/routes.h"

/*
 * Appends what was added, removed and changed.  A route is known by its host
 * and prefix, a service and an account by its name.
 */
void routes_diff(const struct routes *before, const struct routes *after,
    GPtrArray *report) ATTR_NONNULL_ALL;

#endif
