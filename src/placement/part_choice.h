/*
 * Chooses the part of a service for each request of an entry.  A service with
 * many targets is split into parts by a hash of the target's id, each with its
 * own scheduler, so that the parts differ in size and, when targets turn slow,
 * in load.  A part is chosen in proportion to its usable targets; one that is
 * short of room gets less.
 *
 * Performs no I/O; the time is an argument; a choice belongs to one thread.
 */
#ifndef PLACEMENT_PART_CHOICE_H
#define PLACEMENT_PART_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

/* Why a request goes to its part. */
enum part_reason {
	PART_SHARE, /* by the usable targets alone */
	PART_SHORT, /* while a part is known to be short of room */
	PART_MOVED, /* the first part had no room */
	PART_REASONS
};

struct part_choice;

/* A new choice among the parts of a service; seed differs between entries. */
struct part_choice *
part_choice_new(unsigned parts, uint64_t seed) ATTR_UNUSED_RESULT;
void part_choice_free(struct part_choice *choice);
unsigned part_choice_count(
    const struct part_choice *choice) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Sets the number of targets of a part that the entry may use. */
void part_choice_set_targets(struct part_choice *choice, unsigned part,
    unsigned targets) ATTR_NONNULL_ALL;
/*
 * Records the load of a part, in hundredths of its useful slots, as its
 * scheduler has just reported it; 0 (not reported) is ignored.
 */
void part_choice_note_load(struct part_choice *choice, unsigned part,
    uint32_t load, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Returns the last reported load of a part, 0 if there is none, and its age in
 * microseconds.
 */
uint32_t part_choice_load(const struct part_choice *choice, unsigned part,
    uint64_t now_us, uint64_t *age_us) ATTR_NONNULL_ALL;
/* Returns the part of the next request. */
unsigned part_choice_next(struct part_choice *choice, uint64_t now_us,
    enum part_reason *reason) ATTR_NONNULL_ALL;
/*
 * Returns whether a request that a part has just held or rejected for lack of
 * room is to be asked at another one, and writes that one.
 */
bool part_choice_move(struct part_choice *choice, unsigned from,
    uint64_t now_us, unsigned *to) ATTR_NONNULL_ALL;

#endif
