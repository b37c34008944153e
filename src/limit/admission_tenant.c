#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "limit/admission_defs.h"

enum {
	INTERACTIVE_WEIGHT_FACTOR = 4, /* weight relative to bulk calls */
	IDLE_CHECKS_PER_NEW_TENANT = 2, /* idle tenants checked per new one */
	IDLE_REMOVAL_MIN_TENANTS =
	    64 /* no idle tenant is removed below this number */
};

/*
 * Hash function of the table of tenants, by name.
 */
static guint
tenant_hash(gconstpointer pointer)
{
	return (guint)str_hash(
	    ((const struct admission_tenant *)pointer)->name);
}

/*
 * Comparison function of the table of tenants, by name.
 */
static gboolean
tenant_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(((const struct admission_tenant *)a)->name,
	    ((const struct admission_tenant *)b)->name);
}

/*
 * Frees a tenant that is removed from the table, with its waiting tickets;
 * their waiters are not woken.
 */
static void
tenant_free(gpointer pointer)
{
	struct admission_tenant *tenant = pointer;

	for (unsigned i = 0; i < ADMISSION_CLASSES; i++) {
		struct cds_list_head *queue = &tenant->flows[i].queue;

		while (!cds_list_empty(queue)) {
			struct admission_ticket *ticket = cds_list_first_entry(
			    queue, struct admission_ticket, node);

			cds_list_del(&ticket->node);
			mem_free(ticket);
		}
	}
	mem_free(tenant);
}

/*
 * Initializes an empty table of tenants.
 */
void
admission_tenants_init(struct admission *admission)
{
	admission->tenants =
	    g_hash_table_new_full(tenant_hash, tenant_equal, tenant_free, NULL);
	CDS_INIT_LIST_HEAD(&admission->idle);
}

/*
 * Frees all tenants with their waiting tickets.
 */
void
admission_tenants_free(struct admission *admission)
{
	g_hash_table_destroy(admission->tenants);
}

/*
 * Initializes a new tenant's flow of one class.  Its calls are assumed to take
 * as long as the average of the class.
 */
static void
flow_init(struct admission *admission, struct admission_tenant *tenant,
    enum admission_class class)
{
	struct admission_flow *flow = &tenant->flows[class];

	flow->tenant = tenant;
	flow->class = class;
	flow->mean_us = admission->mean_us[class];
	CDS_INIT_LIST_HEAD(&flow->queue);
	heap_node_init(&flow->order);
	heap_node_init(&flow->backlog);
}

/*
 * Returns the size of a tenant's token bucket: its burst, but at least the one
 * token that a call takes.
 */
static double
bucket_size(const struct admission_tenant *tenant)
{
	return tenant->limits.burst > 1.0 ? tenant->limits.burst : 1.0;
}

/*
 * Adds the tokens since the last refill, up to the size of the bucket.
 */
static void
refill(struct admission_tenant *tenant, uint64_t now_us)
{
	double size = bucket_size(tenant);

	if (now_us > tenant->refilled_us) {
		double passed_s =
		    (double)(now_us - tenant->refilled_us) / (double)US_PER_S;

		tenant->tokens += passed_s * tenant->limits.calls_per_s;
		tenant->refilled_us = now_us;
	}
	if (tenant->tokens > size)
		tenant->tokens = size;
}

/*
 * Returns whether a tenant can be removed without loss: its bucket is full,
 * and it is not charged beyond the current virtual time.
 */
static bool
may_remove(const struct admission *admission, struct admission_tenant *tenant,
    uint64_t now_us)
{
	refill(tenant, now_us);
	if (tenant->limits.calls_per_s > 0.0 &&
	    tenant->tokens < bucket_size(tenant))
		return false;
	for (unsigned i = 0; i < ADMISSION_CLASSES; i++) {
		if (tenant->flows[i].finish_tag >
		    admission->virtual_time - ADMISSION_CREDIT_US)
			return false;
	}
	return true;
}

/*
 * Checks the tenants that have been idle longest and removes those whose
 * limits have recovered, so that the table size follows the number of active
 * tenants.
 */
static void
remove_idle_tenants(struct admission *admission, uint64_t now_us)
{
	if (g_hash_table_size(admission->tenants) < IDLE_REMOVAL_MIN_TENANTS)
		return;
	for (unsigned i = 0; i < IDLE_CHECKS_PER_NEW_TENANT; i++) {
		struct admission_tenant *tenant;

		if (cds_list_empty(&admission->idle))
			return;
		tenant = cds_list_first_entry(
		    &admission->idle, struct admission_tenant, idle);
		cds_list_del_init(&tenant->idle);
		if (may_remove(admission, tenant, now_us))
			g_hash_table_remove(admission->tenants, tenant);
		else
			cds_list_add_tail(&tenant->idle, &admission->idle);
	}
}

/*
 * Adds a tenant with a full bucket; the table owns it.
 */
static struct admission_tenant *
tenant_new(struct admission *admission, struct str name,
    const struct admission_tenant_params *limits, uint64_t now_us)
{
	struct admission_tenant *tenant =
	    mem_calloc(1, sizeof(*tenant) + name.len);
	char *bytes = (char *)(tenant + 1);

	if (name.len > 0)
		memcpy(bytes, name.data, name.len);
	tenant->name = str_of(bytes, name.len);
	tenant->limits = *limits;
	tenant->tokens = bucket_size(tenant);
	tenant->refilled_us = now_us;
	CDS_INIT_LIST_HEAD(&tenant->idle);
	for (unsigned i = 0; i < ADMISSION_CLASSES; i++)
		flow_init(admission, tenant, (enum admission_class)i);
	g_hash_table_add(admission->tenants, tenant);
	return tenant;
}

/*
 * Returns the tenant with its bucket refilled and the given limits applied.  A
 * new tenant starts with a full bucket.
 */
struct admission_tenant *
admission_tenant_find_or_add(struct admission *admission, struct str name,
    const struct admission_tenant_params *limits, uint64_t now_us)
{
	struct admission_tenant lookup_key = {.name = name};
	struct admission_tenant *tenant =
	    g_hash_table_lookup(admission->tenants, &lookup_key);

	if (tenant == NULL) {
		remove_idle_tenants(admission, now_us);
		return tenant_new(admission, name, limits, now_us);
	}
	refill(tenant, now_us);
	tenant->limits = *limits;
	if (tenant->tokens > bucket_size(tenant))
		tenant->tokens = bucket_size(tenant);
	return tenant;
}

/*
 * Puts a tenant without calls on the idle list, and removes one with calls.
 */
void
admission_tenant_update_idle(
    struct admission *admission, struct admission_tenant *tenant)
{
	bool busy = tenant->running > 0;

	for (unsigned i = 0; i < ADMISSION_CLASSES; i++)
		busy = busy || tenant->flows[i].waiting > 0;
	cds_list_del_init(&tenant->idle);
	if (!busy)
		cds_list_add_tail(&tenant->idle, &admission->idle);
}

/*
 * Returns whether the tenant runs as many calls as it may.
 */
bool
admission_tenant_is_capped(const struct admission_tenant *tenant)
{
	return tenant->limits.running_max > 0 &&
	    tenant->running >= tenant->limits.running_max;
}

/*
 * Returns the flow's weight among all flows: the tenant's weight, multiplied
 * by INTERACTIVE_WEIGHT_FACTOR for interactive calls.
 */
double
admission_flow_weight(const struct admission_flow *flow)
{
	double weight =
	    flow->tenant->limits.weight > 0 ? flow->tenant->limits.weight : 1.0;

	if (flow->class == ADMISSION_INTERACTIVE)
		weight *= INTERACTIVE_WEIGHT_FACTOR;
	return weight;
}
