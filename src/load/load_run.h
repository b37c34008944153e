/*
 * Runs a planned load over keep-alive connections, each with a thread.
 */
#ifndef LOAD_LOAD_RUN_H
#define LOAD_LOAD_RUN_H

#include "load/load_call.h"

struct load_run {
	struct load_plan *plan;
	const struct load_mix *mix;
	struct load_reasons *reasons;
	const char *entries; /* known entries, IP:PORT,...; or NULL */
	const char *direct; /* targets to call directly; or NULL */
	unsigned connections;
};

/* Returns when every call has ended. */
void load_run(const struct load_run *run) ATTR_NONNULL_ALL;

#endif
