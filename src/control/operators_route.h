/*
 * The operators' API: which method and path asks for what, and what a
 * request's headers and query say.
 */
#ifndef CONTROL_OPERATORS_ROUTE_H
#define CONTROL_OPERATORS_ROUTE_H

#include <microhttpd.h>

#include "control/job.h"

enum operators_page {
	OPERATORS_PAGE_NONE, /* no such method and path */
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
