/*
 * Processes one caller's request: admission, claim, attempts on targets, answer
 * or refusal.
 */
#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include <civetweb.h>

#include "entry/entry.h"

/* Serves a request; returns the HTTP status of the answer. */
int
call_serve(struct entry *entry, struct mg_connection *conn) ATTR_NONNULL_ALL;

#endif
