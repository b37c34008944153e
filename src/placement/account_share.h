/*
 * Slot time that client accounts have used at one service in the last
 * ACCOUNT_SHARE_WINDOW_US, by which they share a service that is short of
 * slots.  Requests without an account are counted together, as one account.
 *
 * Performs no I/O; the time is an argument.
 */
#ifndef PLACEMENT_ACCOUNT_SHARE_H
#define PLACEMENT_ACCOUNT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/attr.h"

enum {
	ACCOUNT_SHARE_WINDOW_US = 2 * 1000 * 1000,
	ACCOUNT_SHARE_SLICES = 8,
	/*
	 * 100 bytes each.  Accounts beyond it are counted with the requests
	 * that have no account.
	 */
	ACCOUNT_SHARE_MAX = 1024
};

struct account_share_table {
	GHashTable *accounts; /* account -> struct account_share */
};

void account_share_init(struct account_share_table *table) ATTR_NONNULL_ALL;
void account_share_clear(struct account_share_table *table) ATTR_NONNULL_ALL;
/* Whether a request with an account came within the window. */
bool account_share_is_active(
    const struct account_share_table *table) ATTR_NONNULL_ALL;
/* Notes a request of an account; 0 (none) is not noted. */
void account_share_note(struct account_share_table *table, uint32_t account,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Adds slot time to an account's use; a correction may be negative. */
void account_share_charge(struct account_share_table *table, uint32_t account,
    double slot_us, uint64_t now_us) ATTR_NONNULL_ALL;
/* The slot time in microseconds that an account has used in the window. */
double account_share_used(const struct account_share_table *table,
    uint32_t account, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * The slot time that an account will have used when its next waiting request
 * begins.  Each call in a round adds the work of the request before.
 */
double account_share_start(struct account_share_table *table, uint32_t account,
    double work_us, uint64_t round, uint64_t now_us) ATTR_NONNULL_ALL;
/* Drops the accounts without use or requests in the window. */
void account_share_expire(
    struct account_share_table *table, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
