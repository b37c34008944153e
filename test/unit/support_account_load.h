/*
 * A replay in virtual time of client accounts that share one service, for the
 * unit test and the benchmark of placements.  One account sends several times
 * its usual load; what that costs the others is the difference to the same
 * arrivals without it.
 */
#ifndef SUPPORT_ACCOUNT_LOAD_H
#define SUPPORT_ACCOUNT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	ACCOUNT_LOAD_ACCOUNTS = 85,
	ACCOUNT_LOAD_LARGE = 4 /* the first ones */
};

struct account_load {
	double load; /* of the service's capacity, with the excess */
	double excess; /* factor of one account's load */
	unsigned account; /* the one with the excess */
	bool slow; /* a quarter of the targets is slow at a time */
	bool named; /* requests carry their account */
	unsigned seconds;
	unsigned seeds;
};

struct account_load_result {
	double worst_loss; /* of another account, part of its requests */
	double mean_loss; /* of all requests of the others */
	double usual_in_time; /* of the others, without the excess */
	double own_in_time; /* of the account with the excess */
};

struct account_load_result account_load_replay(const struct account_load *load);

#endif
