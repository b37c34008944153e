/*
 * Decoding of a target's announcement from a message or the cache of an
 * instance, which may have been written by an older release.
 */
#ifndef ROSTER_ANNOUNCEMENT_H
#define ROSTER_ANNOUNCEMENT_H

#include "roster/roster.h"
#include "wire/fleet.pb-c.h"

/*
 * Reads an announcement received at a time; the strings belong to the message.
 * Returns false when it names no valid target.
 */
bool announcement_read(const Fleet__Announcement *message, uint64_t now_us,
    struct roster_target *target) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
