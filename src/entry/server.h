/*
 * Request routing of an entry's listener for callers and targets.
 */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include "base/web.h"
#include "entry/entry.h"

int server_serve(void *ctx, struct mg_connection *conn) ATTR_NONNULL_ALL;
void server_malformed(
    void *ctx, struct mg_connection *conn, int status) ATTR_NONNULL_ALL;
void server_thread_start(void *ctx);
void server_thread_end(void *ctx);

#endif
