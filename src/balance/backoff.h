/*
 * Backoffs that targets asked of this entry, by target and incarnation.  They
 * outlive the targets of a balancer, which may be removed and announced again
 * meanwhile.  Times are in microseconds.  Thread-safe.
 */
#ifndef BALANCE_BACKOFF_H
#define BALANCE_BACKOFF_H

#include "base/str.h"

enum {
	/* More than the targets of the largest fleet. */
	BACKOFF_TARGETS_MAX = 4096
};

enum backoff_change {
	BACKOFF_UNCHANGED, /* of an older incarnation, or too many targets */
	BACKOFF_EXTENDED, /* the target was in a backoff already */
	BACKOFF_STARTED
};

struct backoff_table;

struct backoff_table *backoff_table_new(void) ATTR_UNUSED_RESULT;
void backoff_table_free(struct backoff_table *table);
/* Records a backoff; a shorter one than the known one does not end it. */
enum backoff_change
backoff_table_record(struct backoff_table *table, struct str id,
    uint64_t incarnation, uint64_t until_us, uint64_t now_us) ATTR_NONNULL(1);
/* Returns the end of an incarnation's backoff; 0 if there is none. */
uint64_t backoff_table_until_us(struct backoff_table *table, struct str id,
    uint64_t incarnation) ATTR_NONNULL(1);
uint32_t backoff_table_count(struct backoff_table *table) ATTR_NONNULL_ALL;

#endif
