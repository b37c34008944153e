#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "limit/allowance_draw_defs.h"

enum {
	VOTER_KEPT_MS = 10 * 1000 /* ten lists of members */
};

/*
 * Forgets what was learnt from the voter that had a number before.
 */
static void
reset_ready(const struct allowance_draws *draws, unsigned voter)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, draws->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct allowance_account *account = value;

		account->empty_until_us[voter] = 0;
		account->ready_us[voter] = 0;
	}
}

/*
 * Records that an address is a voter's.
 */
unsigned
allowance_draws_name_voter(
    struct allowance_draws *draws, const char *address, uint64_t now_us)
{
	unsigned unused = ALLOWANCE_VOTERS_MAX;
	struct voter *voter;

	/* A cut address would be another one with each list of members. */
	if (address[0] == '\0' || strlen(address) >= sizeof(voter->address))
		return unused;
	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		voter = &draws->voters[i];
		if (strcmp(voter->address, address) == 0) {
			voter->named_us = now_us;
			return i;
		}
		if (voter->address[0] == '\0' && unused == ALLOWANCE_VOTERS_MAX)
			unused = i;
	}
	if (unused == ALLOWANCE_VOTERS_MAX)
		return unused;
	reset_ready(draws, unused);
	voter = &draws->voters[unused];
	*voter = (struct voter){.named_us = now_us};
	snprintf(voter->address, sizeof(voter->address), "%s", address);
	return unused;
}

/*
 * Forgets voters that are no longer named.  Called when a list of members has
 * arrived, so that a pause of this process forgets none.
 */
void
allowance_draws_expire_voters(struct allowance_draws *draws, uint64_t now_us)
{
	for (unsigned i = 0; i < ALLOWANCE_VOTERS_MAX; i++) {
		struct voter *voter = &draws->voters[i];

		if (now_us - voter->named_us > VOTER_KEPT_MS * US_PER_MS)
			voter->address[0] = '\0';
	}
}

/*
 * Returns the address of a voter by its number, NULL if there is none.
 */
const char *
allowance_draws_voter(const struct allowance_draws *draws, unsigned voter)
{
	return voter < ALLOWANCE_VOTERS_MAX &&
		draws->voters[voter].address[0] != '\0'
	    ? draws->voters[voter].address
	    : NULL;
}
