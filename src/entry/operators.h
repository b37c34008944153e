/*
 * What operators see of an entry: metrics and health on a port of their
 * own, and answers to the questions that control passes on.
 */
#ifndef ENTRY_OPERATORS_H
#define ENTRY_OPERATORS_H

#include <civetweb.h>

#include "entry/entry.h"

/* Serves /metrics, /live and /ready. */
int operators_serve(void *ctx, struct mg_connection *conn) ATTR_NONNULL_ALL;
/* Fills json for "explain", "burn" and "status". */
void operators_query(struct entry *entry, const char *what,
    const char *argument, struct str_buf *json) ATTR_NONNULL_ALL;

#endif
