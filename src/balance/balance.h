/*
 * Chooses a target for each call of one service on one entry, without I/O.
 * Picking and finishing are safe from any thread (targets are read under RCU,
 * statistics are atomic); adding and removing targets is serialised
 * internally.
 */
#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "balance/balance_defs.h"
#include "base/status.h"

struct balancer;

struct balancer *
balancer_new(const struct balance_params *params) ATTR_NONNULL_ALL;
void balancer_free(struct balancer *balancer);
/* Updates the parameters that may change at run time. */
void balancer_configure(struct balancer *balancer,
    const struct balance_params *params) ATTR_NONNULL_ALL;
void balancer_upsert(struct balancer *balancer,
    const struct balance_target_info *info, uint64_t now_us) ATTR_NONNULL_ALL;
void balancer_remove(struct balancer *balancer, struct str id) ATTR_NONNULL(1);
/*
 * Picks a target and counts the call as in flight on it.  The calling thread
 * must be registered with RCU.
 */
enum balance_verdict
balancer_pick(struct balancer *balancer, const struct balance_call *call,
    uint64_t now_us, struct balance_ticket *ticket,
    uint64_t *wait_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Ends the attempt; report may be NULL. */
void balancer_finish(struct balancer *balancer, struct balance_ticket *ticket,
    enum balance_outcome outcome, uint64_t now_us,
    const struct balance_report *report) ATTR_NONNULL(1, 2);
/*
 * Returns whether a hedge, a second attempt on another target, may be
 * worthwhile while this one is outstanding.  *at_us is set to the time from
 * which it is; if that is later than now_us, ask again then.
 */
bool balancer_hedge_due(struct balancer *balancer,
    const struct balance_ticket *ticket, uint64_t now_us,
    uint64_t *at_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Return the id and address of a ticket's target, valid until it is finished.
 */
struct str
balancer_ticket_id(const struct balance_ticket *ticket) ATTR_NONNULL_ALL;
struct str
balancer_ticket_address(const struct balance_ticket *ticket) ATTR_NONNULL_ALL;
uint64_t balancer_ticket_incarnation(
    const struct balance_ticket *ticket) ATTR_NONNULL_ALL;
/*
 * Returns whether the target has announced its departure or asked to back off
 * since it was picked, so that an attempt not yet sent belongs elsewhere.
 */
bool balancer_ticket_is_withdrawn(
    const struct balance_ticket *ticket, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Sets until when an incarnation of a target is not to be used by this entry.
 * An earlier time than the one set does not shorten it.
 */
void balancer_set_backoff(struct balancer *balancer, struct str id,
    uint64_t incarnation, uint64_t until_us) ATTR_NONNULL(1);
/*
 * Returns the shortest time in microseconds until a target accepts calls again
 * if all that are not draining asked to back off, else 0.
 */
uint64_t balancer_backoff_left_us(
    const struct balancer *balancer, uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns how many targets that are not draining asked to back off. */
uint32_t balancer_backoff_count(
    const struct balancer *balancer, uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns the latest end of all backoffs so far; 0 if there was none. */
uint64_t
balancer_last_backoff_us(const struct balancer *balancer) ATTR_NONNULL_ALL;
/*
 * Returns false if no target needs a probe now; of *info id, address and
 * incarnation are set.  The result of the probe is passed to balancer_report().
 */
bool balancer_probe_due(struct balancer *balancer, uint64_t now_us,
    struct balance_target_info *info) ATTR_NONNULL_ALL;
void balancer_report(struct balancer *balancer, struct str id,
    const struct balance_report *report, uint64_t now_us) ATTR_NONNULL(1, 3);
/*
 * Returns the number of targets that are not draining, the slots of those that
 * accept calls of this entry, and its calls in flight on all targets.
 */
void balancer_totals(const struct balancer *balancer, uint64_t now_us,
    uint32_t *targets, uint32_t *slots, uint32_t *in_flight) ATTR_NONNULL_ALL;
/*
 * Returns the number of targets examined by all picks so far, as a measure of
 * their cost.
 */
uint64_t
balancer_targets_examined(const struct balancer *balancer) ATTR_NONNULL_ALL;
const char *balance_policy_name(enum balance_policy policy);

#endif
