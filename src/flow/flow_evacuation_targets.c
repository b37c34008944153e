/*
 * What an evacuation means for the targets of its failure domain at this entry:
 * no request, probe or idle connection.  Requests that run there end there.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

/*
 * Returns a connection that is not established yet and has a request, of which
 * the target has seen nothing; NULL if there is none.
 */
static struct upstream *
find_unsent(const struct pool *pool)
{
	for (GList *l = pool->all.head; l != NULL; l = l->next) {
		struct upstream *up = l->data;

		if (!up->connected && up->attempt != NULL)
			return up;
	}
	return NULL;
}

/*
 * Closes the connections of an evacuated target that run no request.  Requests
 * that were not sent yet are placed again.
 */
static void
close_connections(struct pool *pool)
{
	struct upstream *up;

	while ((up = g_queue_peek_tail(&pool->idle)) != NULL)
		upstream_close(up);
	if (pool->probing != NULL)
		upstream_close(pool->probing);
	if (pool->probe_upstream != NULL)
		upstream_close(pool->probe_upstream);
	while ((up = find_unsent(pool)) != NULL)
		upstream_fail(
		    up, OUTCOME_ABANDONED, "its failure domain is evacuated");
}

/*
 * Sets whether a target is evacuated.  Afterwards it counts as cold until a
 * probe says otherwise: it may have been restarted meanwhile.
 */
static void
set_evacuated(struct pool *pool, bool evacuated)
{
	pool->evacuated = evacuated;
	pool->flow->usable_generation++;
	placement_set_evacuated(
	    pool->service_part->placement, pool->id, evacuated);
	probe_update(pool);
	if (!evacuated)
		cold_assume(pool);
}

/*
 * Applies a change of the set of evacuated failure domains.  Connections are
 * closed at last, since their requests are then placed again.
 */
void
evacuation_apply(struct flow *flow)
{
	GPtrArray *evacuated = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	flow_count_scanned(flow, g_hash_table_size(flow->pools));
	g_hash_table_iter_init(&iter, flow->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		bool active = evacuation_is_active(flow, pool->failure_domain);

		if (active == pool->evacuated)
			continue;
		set_evacuated(pool, active);
		if (active)
			g_ptr_array_add(evacuated, pool);
	}
	for (guint i = 0; i < evacuated->len; i++)
		close_connections(evacuated->pdata[i]);
	g_ptr_array_free(evacuated, TRUE);
}

/*
 * A target was added to a placement.
 */
void
evacuation_on_added(struct pool *pool)
{
	if (evacuation_is_active(pool->flow, pool->failure_domain))
		set_evacuated(pool, true);
}
