/*
 * Internal representation of a registry, for src/registry only.
 */
#ifndef REGISTRY_REGISTRY_STATE_H
#define REGISTRY_REGISTRY_STATE_H

#include <glib.h>

#include "registry/registry.h"
#include "registry/registry_drained.h"

struct registry {
	GHashTable *by_id; /* from struct str to its target */
	struct registry_target **targets; /* ordered by id */
	uint32_t count;
	uint32_t capacity;
	struct registry_drained *drained;
};

#endif
