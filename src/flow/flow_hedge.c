/*
 * Log lines and counters of second sends against slow answers.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

static const char *const outcome_names[HEDGE_OUTCOMES] = {
    "made", "won", "lost", "failed"};

/*
 * Placement callback: a second send was made or has ended.  The scheduler of
 * the service logs it, under the number that the requesting entry has given.
 */
void
hedge_on_event(
    void *ctx, void *user, const char *target, enum hedge_outcome outcome)
{
	struct service *service = ctx;
	struct flow *flow = service->flow;
	const struct remote_call *call = user;

	counter_add(flow->hedges[outcome], 1);
	if (!flow_may_log(flow))
		return;
	log_info("hedge",
	    "instance=%s service=%s request=%" PRIu64
	    " remote=%d target=%s reason=slower_than_nine_in_ten outcome=%s",
	    flow->settings.instance, service->name,
	    call->requester.remote
		? call->request
		: ((const struct exchange *)(const void *)call)->id,
	    call->requester.remote, target, outcome_names[outcome]);
}
