/*
 * Value of a Retry-After field: seconds, which may have a fraction.
 */
#ifndef BASE_RETRY_AFTER_H
#define BASE_RETRY_AFTER_H

#include "base/str.h"

enum {
	/* One answer can't keep a target out of use for longer. */
	RETRY_AFTER_MAX_MS = 600 * 1000
};

/*
 * Writes the time in microseconds, RETRY_AFTER_MAX_MS at most.  Of several
 * values the largest counts.  Returns false if a value is not a number of
 * seconds, such as a date or a negative one; the others still count, and *us is
 * 0 if there are none.
 */
bool retry_after_parse(struct str value, uint64_t *us) ATTR_NONNULL_ALL;

#endif
