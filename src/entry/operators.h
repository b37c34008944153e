/*
 * Operators' interface of an entry: metrics and health checks on a separate
 * port, and answers to queries forwarded by control.
 */
#ifndef ENTRY_OPERATORS_H
#define ENTRY_OPERATORS_H

#include <civetweb.h>

#include "entry/entry.h"

/* Serves /metrics, /live and /ready. */
int operators_serve(void *ctx, struct mg_connection *conn) ATTR_NONNULL_ALL;
/* Writes the answer to "explain", "burn" or "status" to json. */
void operators_query(struct entry *entry, const char *what,
    const char *argument, struct str_buf *json) ATTR_NONNULL_ALL;

#endif
