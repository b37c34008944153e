#include "placement/account_share.h"

#include <string.h>

#include "base/memory.h"

enum {
	SLICE_US = ACCOUNT_SHARE_WINDOW_US / ACCOUNT_SHARE_SLICES
};

struct account_share {
	double used_us[ACCOUNT_SHARE_SLICES];
	uint64_t slice; /* number of the newest slice */
	uint64_t noted_us; /* last request or charge */
	uint64_t round; /* that next_us belongs to */
	double next_us; /* used when the next waiting request begins */
};

/*
 * Prepares an empty table.
 */
void
account_share_init(struct account_share_table *table)
{
	table->accounts = g_hash_table_new_full(NULL, NULL, NULL, mem_free);
}

/*
 * Frees the memory of a table.
 */
void
account_share_clear(struct account_share_table *table)
{
	g_hash_table_destroy(table->accounts);
}

/*
 * Returns whether a request with an account came within the window.
 */
bool
account_share_is_active(const struct account_share_table *table)
{
	return g_hash_table_size(table->accounts) > 0;
}

/*
 * Returns the entry that counts an account, or NULL.
 */
static struct account_share *
find(const struct account_share_table *table, uint32_t account)
{
	struct account_share *share =
	    g_hash_table_lookup(table->accounts, GUINT_TO_POINTER(account));

	if (share != NULL || account == 0 ||
	    g_hash_table_size(table->accounts) < ACCOUNT_SHARE_MAX)
		return share;
	return g_hash_table_lookup(table->accounts, GUINT_TO_POINTER(0));
}

/*
 * Returns the entry that counts an account; creates it if there is none.
 */
static struct account_share *
find_or_add(
    struct account_share_table *table, uint32_t account, uint64_t now_us)
{
	struct account_share *share = find(table, account);

	if (share != NULL)
		return share;
	if (g_hash_table_size(table->accounts) >= ACCOUNT_SHARE_MAX)
		account = 0;
	share = mem_calloc(1, sizeof(*share));
	share->slice = now_us / SLICE_US;
	share->noted_us = now_us;
	g_hash_table_insert(table->accounts, GUINT_TO_POINTER(account), share);
	return share;
}

/*
 * Clears the slices that have passed since the last charge.
 */
static void
advance(struct account_share *share, uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;

	if (slice > share->slice + ACCOUNT_SHARE_SLICES) {
		memset(share->used_us, 0, sizeof(share->used_us));
		share->slice = slice;
	}
	while (share->slice < slice) {
		share->slice++;
		share->used_us[share->slice % ACCOUNT_SHARE_SLICES] = 0;
	}
}

/*
 * Notes a request of an account.  Requests without one are not counted while
 * there are no others: a service without accounts needs no table.
 */
void
account_share_note(
    struct account_share_table *table, uint32_t account, uint64_t now_us)
{
	if (account != 0)
		find_or_add(table, account, now_us)->noted_us = now_us;
}

/*
 * Adds slot time to an account's use.
 */
void
account_share_charge(struct account_share_table *table, uint32_t account,
    double slot_us, uint64_t now_us)
{
	struct account_share *share;

	if (!account_share_is_active(table))
		return;
	share = find_or_add(table, account, now_us);
	advance(share, now_us);
	share->used_us[share->slice % ACCOUNT_SHARE_SLICES] += slot_us;
	share->noted_us = now_us;
}

/*
 * Returns the sum of an entry's slices in the window.
 */
static double
sum_of(const struct account_share *share, uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;
	double sum = 0;

	for (uint64_t i = 0; i < ACCOUNT_SHARE_SLICES; i++) {
		uint64_t number = share->slice - i;

		if (share->slice < i || number + ACCOUNT_SHARE_SLICES <= slice)
			break;
		sum += share->used_us[number % ACCOUNT_SHARE_SLICES];
	}
	/* A correction may be in a later slice than what it corrects. */
	return sum > 0 ? sum : 0;
}

/*
 * Returns the slot time that an account has used.
 */
double
account_share_used(
    const struct account_share_table *table, uint32_t account, uint64_t now_us)
{
	const struct account_share *share = find(table, account);

	return share != NULL ? sum_of(share, now_us) : 0;
}

/*
 * Returns the slot time that an account will have used when its next waiting
 * request begins, and counts that request's work for the one after it.
 */
double
account_share_start(struct account_share_table *table, uint32_t account,
    double work_us, uint64_t round, uint64_t now_us)
{
	struct account_share *share = find_or_add(table, account, now_us);
	double start;

	if (share->round != round) {
		share->round = round;
		share->next_us = sum_of(share, now_us);
	}
	start = share->next_us;
	share->next_us += work_us;
	return start;
}

static gboolean
is_unused(gpointer key ATTR_UNUSED, gpointer value, gpointer ctx)
{
	const struct account_share *share = value;
	const uint64_t *now_us = ctx;

	return share->noted_us + ACCOUNT_SHARE_WINDOW_US < *now_us;
}

/*
 * Drops the unused accounts, and with the last one the requests without an
 * account.
 */
void
account_share_expire(struct account_share_table *table, uint64_t now_us)
{
	g_hash_table_foreach_remove(table->accounts, is_unused, &now_us);
	if (g_hash_table_size(table->accounts) == 1)
		g_hash_table_remove(table->accounts, GUINT_TO_POINTER(0));
}
