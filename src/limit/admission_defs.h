/*
 * Definitions shared by the source files of the admission control: tickets,
 * flows (one class of one tenant) and tenants.
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
 * How far the start tag of a flow that used less than its share may lag behind
 * virtual time: its next calls go first until that credit is used up (the warp
 * of borrowed virtual time, Duda and Cheriton 1999).
 */
#define ADMISSION_CREDIT_US 50000.0

/* Whether a flow may use the slots reserved for tenants with low use. */
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
	uint64_t started_us; /* only when running */
	uint64_t charged_us; /* slot time charged at the start */
};

struct admission_tenant;

/* Tags are in virtual time: microseconds of a slot at a weight of 1. */
struct admission_flow {
	struct admission_tenant *tenant;
	enum admission_class class;
	struct cds_list_head queue;
	uint32_t waiting;
	uint32_t running;
	double finish_tag; /* virtual time up to which it is charged */
	double mean_us; /* moving average of its slot time */
	double charged_us; /* charged for the running calls */
	double overrun_us; /* charged in excess, for overdue calls */
	double started_sum_us; /* sum of the running calls' start times */
	struct heap_node order; /* in order_heap when it may run */
	struct heap *order_heap; /* heap by class and reserve class, or NULL */
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
	double virtual_time; /* start tag of the last call started */
	double finish_tag_max; /* largest finish tag so far */
	double mean_us[ADMISSION_CLASSES];
	uint32_t running;
	uint32_t running_class[ADMISSION_CLASSES];
	uint32_t waiting;
	struct heap order[ADMISSION_CLASSES]
			 [ADMISSION_RESERVE_CLASSES]; /* by start tag */
	uint64_t last_tenant_hash; /* tenant of the last call */
	uint64_t tenant_switched_us; /* last call of a different tenant */
	struct heap backlog; /* longest weighted queue first */
	struct heap expiry; /* by expiry time, microseconds */
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

/* admission_refuse.c */
void admission_dequeue(struct admission *admission,
    struct admission_ticket *ticket) ATTR_NONNULL_ALL;
void admission_refuse_ticket(struct admission *admission,
    struct admission_ticket *ticket,
    enum refusal_reason reason) ATTR_NONNULL_ALL;

/* admission_tenant.c */
void admission_tenants_init(struct admission *admission) ATTR_NONNULL_ALL;
void admission_tenants_free(struct admission *admission) ATTR_NONNULL_ALL;
struct admission_tenant *
admission_tenant_find_or_add(struct admission *admission, struct str name,
    const struct admission_tenant_params *limits,
    uint64_t now_us) ATTR_NONNULL_ALL;
void admission_tenant_update_idle(struct admission *admission,
    struct admission_tenant *tenant) ATTR_NONNULL_ALL;
bool admission_tenant_is_capped(
    const struct admission_tenant *tenant) ATTR_NONNULL_ALL;
double
admission_flow_weight(const struct admission_flow *flow) ATTR_NONNULL_ALL;

#endif
