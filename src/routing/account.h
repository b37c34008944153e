/*
 * A client account of a document: who a key belongs to, and what the account
 * may ask for.
 */
#ifndef ROUTING_ACCOUNT_H
#define ROUTING_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

struct account {
	char *name;
	uint32_t id; /* hash of the name */
	bool has_rank;
	uint32_t rank; /* instead of the route's; 0 is the most urgent */
	double rate_per_s; /* requests over all entries; 0: no limit */
	double burst; /* requests */
};

#endif
