/*
 * Target announcements: PUT, GET and DELETE on /gypsummill/v1/targets/ID.  The
 * entry keeps the announcements' leases; only changes are proposed to control.
 */
#ifndef ENTRY_ANNOUNCE_H
#define ENTRY_ANNOUNCE_H

#include <civetweb.h>

#include "base/str.h"

struct announce;
struct entry;

struct announce *announce_new(struct entry *entry) ATTR_NONNULL_ALL;
void announce_free(struct announce *announce);
/* Serves a request for a target's announcement; returns the HTTP status. */
int announce_serve(struct announce *announce, struct mg_connection *conn,
    struct str id) ATTR_NONNULL(1, 2);
/*
 * Control names this entry as a target's holder: the target gets a lease if it
 * has none, so that it doesn't stay when it is gone.
 */
void announce_adopt(struct announce *announce, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1);
/* Removes the targets whose lease has expired. */
void
announce_expire(struct announce *announce, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
