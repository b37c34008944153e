/*
 * What the parts of the admission share: tickets, flows (one class of one
 * tenant) and tenants.
 */
#ifndef LIMIT_ADMISSION_DEFS_H
#define LIMIT_ADMISSION_DEFS_H

#include <glib.h>
#include <urcu/list.h>

#include "limit/admission.h"
#include "limit/heap.h"

enum {
	ADMISSION_CLASSES = 2
};

/*
 * How far a flow that used less than its share stays behind virtual time:
 * its next calls go first until that is used up (the warp of borrowed
 * virtual time, Duda and Cheriton 1999).
 */
#define ADMISSION_CREDIT_US 50000.0

/* Whether a flow may use the room kept for quiet tenants. */
enum admission_reserve_class {
	ADMISSION_RESERVE_ELIGIBLE,
	ADMISSION_RESERVE_EXCLUDED,
	ADMISSION_RESERVE_CLASSES
};

struct admission_flow;

struct admission_ticket {
	struct admission_flow *flow;
	struct cds_list_head node; /* in the flow's queue while waiting */
	struct heap_node expiry; /* in the expiry heap while waiting */
	void *waiter;
	uint64_t started_us; /* when running */
	uint64_t charged_us; /* slot time charged at the start */
};

struct admission_tenant;

/* Tags are virtual time: microseconds of a slot for a weight of 1. */
struct admission_flow {
	struct admission_tenant *tenant;
	enum admission_class class;
	struct cds_list_head queue;
	uint32_t waiting;
	uint32_t running;
	double finish_tag; /* tag: what the flow was charged up to */
	double mean_us; /* slot time of its calls, moving average */
	double charged_us; /* charged for the running calls */
	double overrun_us; /* charged beyond, as they take longer */
	double started_sum_us; /* start times of the running calls */
	struct heap_node order; /* in a heap of its class when it may run */
	struct heap *order_heap; /* that heap, or NULL */
	struct heap_node backlog; /* in the backlog heap while waiting */
};

struct admission_tenant {
	struct str name; /* bytes follow this struct */
	struct admission_tenant_params limits;
	double tokens;
	uint64_t refilled_us;
	uint32_t running;
	struct admission_flow flows[ADMISSION_CLASSES];
	struct cds_list_head idle; /* in the idle list, else empty */
};

struct admission {
	struct admission_params params;
	double virtual_time; /* start tag last dispatched */
	double finish_tag_max; /* largest finish tag given */
	double mean_us[ADMISSION_CLASSES];
	uint32_t running;
	uint32_t running_class[ADMISSION_CLASSES];
	uint32_t waiting;
	struct heap order[ADMISSION_CLASSES]
			 [ADMISSION_RESERVE_CLASSES]; /* by tag */
	uint64_t last_tenant_hash; /* name of the tenant that entered last */
	uint64_t tenant_switched_us; /* when a tenant last followed another */
	struct heap backlog; /* the longest queue first */
	struct heap expiry; /* by time */
	GHashTable *tenants; /* set of struct admission_tenant */
	struct cds_list_head idle; /* longest idle first */
};

/* admission_flow.c */
double admission_flow_start_tag(const struct admission *admission,
    const struct admission_flow *flow) ATTR_NONNULL_ALL;
enum admission_reserve_class
admission_flow_reserve_class(const struct admission *admission,
    const struct admission_flow *flow) ATTR_NONNULL_ALL;
void admission_flow_update_order(
    struct admission *admission, struct admission_flow *flow) ATTR_NONNULL_ALL;
void admission_tenant_update_order(struct admission *admission,
    struct admission_tenant *tenant) ATTR_NONNULL_ALL;
double admission_flow_weighted_length(
    const struct admission_flow *flow, uint32_t waiting) ATTR_NONNULL_ALL;
void admission_flow_update_backlog(
    struct admission *admission, struct admission_flow *flow) ATTR_NONNULL_ALL;
void admission_flow_charge(struct admission *admission,
    struct admission_flow *flow, double us) ATTR_NONNULL_ALL;
bool admission_flow_charge_overrun(struct admission *admission,
    struct admission_flow *flow, uint64_t now_us) ATTR_NONNULL_ALL;
void admission_flow_settle_charge(struct admission *admission,
    const struct admission_ticket *ticket, uint64_t now_us) ATTR_NONNULL_ALL;

/* admission_tenant.c */
void admission_tenants_init(struct admission *admission) ATTR_NONNULL_ALL;
void admission_tenants_free(struct admission *admission) ATTR_NONNULL_ALL;
struct admission_tenant *admission_tenant_get(struct admission *admission,
    struct str name, const struct admission_tenant_params *limits,
    uint64_t now_us) ATTR_NONNULL_ALL;
void admission_tenant_update_idle(struct admission *admission,
    struct admission_tenant *tenant) ATTR_NONNULL_ALL;
bool admission_tenant_is_capped(
    const struct admission_tenant *tenant) ATTR_NONNULL_ALL;
double
admission_flow_weight(const struct admission_flow *flow) ATTR_NONNULL_ALL;

#endif
