/*
 * Trust in a target's load reports.  An entry knows one part of the target's
 * load exactly, its own calls there; a true report rises and falls with them.
 * Internal to src/balance.
 */
#ifndef BALANCE_TRUST_H
#define BALANCE_TRUST_H

#include <stdatomic.h>
#include <stdbool.h>

#include "base/attr.h"

struct trust {
	_Atomic double score; /* log odds that the reports are true */
	_Atomic double mean; /* of the reports */
	_Atomic double mean_other_calls; /* of the reports less the own calls */
	_Atomic double variance; /* of the reports */
	_Atomic bool started;
};

void trust_observe(
    struct trust *trust, double reported, double own) ATTR_NONNULL_ALL;
bool trust_is_sufficient(const struct trust *trust) ATTR_NONNULL_ALL;

#endif
