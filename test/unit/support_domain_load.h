/*
 * A replay in virtual time of one service in four failure domains of uneven
 * demand, for the unit test and the benchmark of placements.  Requests that may
 * not be repeated end at their route's timeout; targets may change their speed.
 */
#ifndef SUPPORT_DOMAIN_LOAD_H
#define SUPPORT_DOMAIN_LOAD_H

#include <stdbool.h>

struct domain_load {
	double load; /* of the service's capacity */
	double once_share; /* of the requests: may not be repeated */
	bool slow; /* 30 % of the targets work seven times as long */
	bool stay_local; /* see placement_set_stay_local() */
	bool check_timeout; /* see placement_set_check_timeout() */
	unsigned seconds; /* counted */
	unsigned seed;
};

/* Parts of the requests; without a unit. */
struct domain_load_result {
	double in_time;
	double late; /* answered after the objective */
	double rejected; /* not run */
	double cut_off; /* sent, and not answered within the timeout */
	double left; /* sent to a target of another domain */
	/* of those that may not be repeated */
	double once_in_time;
	double once_cut_off;
	double once_rejected;
};

struct domain_load_result domain_load_replay(const struct domain_load *load);

#endif
