/*
 * What the schedulers of services have learnt of them, kept for entries that
 * start and for the next start of this instance.
 */
#include "base/memory.h"
#include "core/core_internal.h"

enum {
	ESTIMATES_MAX = 256 /* services and parts of services */
};

static void
estimate_free(void *value)
{

	fleet__estimate__free_unpacked(value, NULL);
}

static Fleet__Estimate *
copy_estimate(const Fleet__Estimate *from)
{
	size_t len = fleet__estimate__get_packed_size(from);
	uint8_t *bytes = mem_alloc(len + 1);
	Fleet__Estimate *copy;

	fleet__estimate__pack(from, bytes);
	copy = fleet__estimate__unpack(NULL, len, bytes);
	mem_free(bytes);
	return copy;
}

/*
 * Keeps the newest estimate of a service.  Beyond ESTIMATES_MAX services it is
 * ignored: an entry that starts learns anew.
 */
void
core_on_estimate(struct core *core, const Fleet__Estimate *estimate)
{
	Fleet__Estimate *copy;

	if (core->estimates == NULL)
		core->estimates = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, estimate_free);
	if (g_hash_table_size(core->estimates) >= ESTIMATES_MAX &&
	    !g_hash_table_contains(core->estimates, estimate->service))
		return;
	copy = copy_estimate(estimate);
	if (copy == NULL)
		return;
	g_hash_table_replace(core->estimates, copy->service, copy);
	core->cache_dirty = true;
}

/*
 * Calls a function for each estimate.
 */
void
core_for_each_estimate(const struct core *core,
    void (*callback)(void *ctx, Fleet__Estimate *estimate), void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	if (core->estimates == NULL)
		return;
	g_hash_table_iter_init(&iter, core->estimates);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		callback(ctx, value);
}

/*
 * Frees the estimates.
 */
void
core_estimates_close(struct core *core)
{
	if (core->estimates != NULL)
		g_hash_table_destroy(core->estimates);
	core->estimates = NULL;
}
