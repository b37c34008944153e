#include <string.h>

#include "core/core_internal.h"

enum {
	LOOKUP_OWN_MIN = 2 /* so that an entry that fails has a neighbour */
};

struct answer {
	const struct core *core;
	struct str failure_domain;
	bool own; /* entries of the caller's failure domain, or the others */
	const char **addresses;
	unsigned count;
	unsigned max;
};

static void
add(struct answer *answer, const Fleet__Hello *hello)
{
	const char *address = hello->caller_address;

	if (answer->count == answer->max || !hello->ready ||
	    str_equal_c(answer->failure_domain, hello->failure_domain) !=
		answer->own)
		return;
	for (unsigned i = 0; i < answer->count; i++) {
		if (strcmp(answer->addresses[i], address) == 0)
			return;
	}
	answer->addresses[answer->count++] = address;
}

/*
 * Adds the entries that are connected here; where there is no log, and so
 * none connects, those that other instances tell of.
 */
static void
add_entries(struct answer *answer)
{
	const struct core *core = answer->core;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < core->peers->len; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer->greeted && !peer->is_control)
			add(answer, peer->hello);
	}
	if (core->settings.data != NULL)
		return;
	g_hash_table_iter_init(&iter, core->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add(answer, ((const struct core_entry *)value)->hello);
}

/*
 * Names the entries of the caller's failure domain that are connected and
 * ready, and all others too where those are few.
 */
unsigned
core_lookup(const struct core *core, struct str failure_domain,
    const char **addresses, unsigned max)
{
	struct answer answer = {
	    .core = core,
	    .failure_domain = failure_domain,
	    .own = true,
	    .addresses = addresses,
	    .max = max,
	};

	add_entries(&answer);
	if (answer.count < LOOKUP_OWN_MIN) {
		answer.own = false;
		add_entries(&answer);
	}
	return answer.count;
}
