/*
 * Routing of the operators' API: maps method and path to a job and copies
 * headers and query arguments to it.
 */
#ifndef CONTROL_OPERATORS_ROUTE_H
#define CONTROL_OPERATORS_ROUTE_H

#include <microhttpd.h>

#include "control/job.h"

enum operators_page {
	OPERATORS_PAGE_NONE, /* unknown method or path */
	OPERATORS_PAGE_API,
	OPERATORS_PAGE_LIVE,
	OPERATORS_PAGE_METRICS
};

enum operators_page operators_route_find(const char *method, const char *path,
    enum job_kind *kind, struct str *name) ATTR_NONNULL_ALL;
void operators_route_fill_job(struct MHD_Connection *conn, struct job *job,
    struct str name) ATTR_NONNULL_ALL;
const char *operators_route_check(struct MHD_Connection *conn,
    const struct job *job) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
