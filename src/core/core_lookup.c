#include "core/core_internal.h"

enum {
	LOOKUP_OWN_MIN = 2 /* so that an entry that fails has a neighbour */
};

static unsigned
add_entries(const struct core *core, struct str failure_domain, bool own,
    const char **addresses, unsigned count, unsigned max)
{
	for (guint i = 0; i < core->peers->len && count < max; i++) {
		const struct core_peer *peer = core->peers->pdata[i];

		if (peer->greeted && !peer->is_control && peer->hello->ready &&
		    str_equal_c(failure_domain, peer->hello->failure_domain) ==
			own)
			addresses[count++] = peer->hello->caller_address;
	}
	return count;
}

/*
 * Names the entries of the caller's failure domain that are connected and
 * ready, and all others too where those are few.
 */
unsigned
core_lookup(const struct core *core, struct str failure_domain,
    const char **addresses, unsigned max)
{
	unsigned count =
	    add_entries(core, failure_domain, true, addresses, 0, max);

	if (count < LOOKUP_OWN_MIN)
		count = add_entries(
		    core, failure_domain, false, addresses, count, max);
	return count;
}
