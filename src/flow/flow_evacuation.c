/*
 * Failure domains that are being evacuated, as an entry has heard of them from
 * control.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

static uint32_t
domain_hash(const char *failure_domain)
{
	return (uint32_t)str_hash(str_from(failure_domain));
}

/*
 * Returns an empty set of failure domains: hash -> name.
 */
static GHashTable *
new_set(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void
evacuation_open(struct flow *flow)
{
	flow->evacuated = new_set();
	flow->evacuations =
	    counter_register(COUNTER_GAUGE, "gypsummill_flow_evacuations",
		"Failure domains that are being evacuated (count)", NULL);
	counter_set(flow->evacuations, 0);
}

void
evacuation_close(struct flow *flow)
{
	g_hash_table_destroy(flow->evacuated);
}

/*
 * Returns whether a failure domain is being evacuated.
 */
bool
evacuation_is_active(const struct flow *flow, uint32_t failure_domain_hash)
{
	return g_hash_table_contains(
	    flow->evacuated, GUINT_TO_POINTER(failure_domain_hash));
}

/*
 * Logs the failure domains of one set that the other one does not have.
 */
static void
log_difference(
    struct flow *flow, GHashTable *set, GHashTable *other, bool active)
{
	GHashTableIter iter;
	gpointer key, name;

	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, &name)) {
		if (g_hash_table_contains(other, key) || !flow_may_log(flow))
			continue;
		log_info("evacuation",
		    "instance=%s failure_domain=%s active=%d index=%" PRIu64
		    " count=%u",
		    flow->settings.instance, (const char *)name, active,
		    flow->evacuation_index, g_hash_table_size(flow->evacuated));
	}
}

/*
 * Replaces the set by one that control has sent.  One that is not newer comes
 * from a control instance that lags behind.
 */
void
evacuation_on_update(struct flow *flow, const Fleet__Evacuations *message)
{
	GHashTable *before = flow->evacuated;

	if (message->index <= flow->evacuation_index)
		return;
	flow->evacuation_index = message->index;
	flow->evacuated = new_set();
	for (size_t i = 0; i < message->n_failure_domain; i++) {
		const char *name = message->failure_domain[i];

		g_hash_table_insert(flow->evacuated,
		    GUINT_TO_POINTER(domain_hash(name)), g_strdup(name));
	}
	log_difference(flow, flow->evacuated, before, true);
	log_difference(flow, before, flow->evacuated, false);
	g_hash_table_destroy(before);
	counter_set(flow->evacuations, g_hash_table_size(flow->evacuated));
	evacuation_apply(flow);
}
