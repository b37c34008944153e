/*
 * State replicated by the control group.  It is deterministic: the same
 * commands in the same order give the same state, and it reads no clock.
 */
#ifndef CORE_CORE_STATE_H
#define CORE_CORE_STATE_H

#include <glib.h>

#include "base/status.h"
#include "base/str.h"
#include "core/core.h"
#include "core/evacuation_set.h"
#include "roster/roster.h"
#include "wire/fleet.pb-c.h"

struct core_state {
	uint64_t document_index; /* log index of its edit; 0: none */
	uint64_t version;
	struct str_buf text;
	GArray *accepted; /* of uint64_t: digests of all accepted edits */
	struct roster *roster; /* its departures are replicated */
	struct evacuation_set evacuations;
};

/* Changes made by a command, to be sent to peers. */
struct core_effect {
	enum core_outcome outcome;
	bool document_changed;
	bool evacuations_changed;
	bool has_departed;
	struct roster_departure departed; /* id is borrowed from the command */
};

void core_state_init(
    struct core_state *state, struct roster *roster) ATTR_NONNULL_ALL;
void core_state_destroy(struct core_state *state) ATTR_NONNULL_ALL;
void core_state_apply(struct core_state *state, uint64_t index,
    const Fleet__Command *command, struct core_effect *effect) ATTR_NONNULL_ALL;
bool core_state_is_decided(const struct core_state *state,
    const Fleet__Command *command, enum core_outcome *outcome) ATTR_NONNULL_ALL;
void core_state_save(
    const struct core_state *state, struct str_buf *out) ATTR_NONNULL_ALL;
enum status core_state_load(struct core_state *state,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
