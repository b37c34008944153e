/*
 * What a response proves about the pending request of its connection.  A target
 * may send a response once more, when the connection already serves the next
 * request, and not every response names the attempt it belongs to.
 *
 * A response belongs to the pending request if it names its attempt, or if the
 * connection has served no other request.  Targets that are full may reject
 * without reading the attempt header, so a rejection that names no attempt also
 * counts if it is the first of its connection: there is no earlier one to
 * repeat.  After it, the connection serves idempotent requests alone, whose
 * rejections only lead to another send.  No response can name a request without
 * an attempt id, so it gets a new connection.
 */
#include "flow/flow_internal.h"

/*
 * Returns whether a response is a target's statement that it did not run a
 * request; which request is a matter of attribution.
 */
static bool
is_rejection(const struct upstream *up)
{
	unsigned status = up->parser.status_code;

	return head_find(&up->head, up->flow->dialect.not_run_header).data !=
	    NULL &&
	    (status == 503 || status == 429 || status == 421 || status == 400);
}

/*
 * Returns whose response a connection has received, from its head.
 */
static enum attribution
attribute(const struct upstream *up)
{
	struct str named =
	    head_find(&up->head, up->flow->dialect.attempt_header);
	struct str own;

	if (up->attempt == NULL)
		return up->probe && named.data != NULL ? ATTRIBUTION_OTHER
						       : ATTRIBUTION_OWN;
	own = head_find(
	    &up->attempt->exchange->head, up->flow->dialect.attempt_header);
	if (named.data != NULL)
		return own.data != NULL && str_equal(named, own)
		    ? ATTRIBUTION_OWN
		    : ATTRIBUTION_OTHER;
	if (!up->reused)
		return ATTRIBUTION_OWN;
	if (is_rejection(up) &&
	    (!up->unnamed_rejection ||
		route_is_idempotent(up->attempt->exchange->route)))
		return ATTRIBUTION_OWN;
	return ATTRIBUTION_UNKNOWN;
}

/*
 * Evaluates the complete head of a final response: sets its attribution and
 * whether it proves that the pending request did not run.
 */
void
attribution_on_head(struct upstream *up)
{
	bool rejection = is_rejection(up);

	up->attribution = attribute(up);
	up->not_run = up->attempt != NULL &&
	    up->attribution == ATTRIBUTION_OWN &&
	    (rejection || up->parser.status_code == 421);
	if (rejection &&
	    head_find(&up->head, up->flow->dialect.attempt_header).data == NULL)
		up->unnamed_rejection = true;
}

/*
 * Returns whether a kept connection may serve a request: its response must be
 * attributable, and also its rejection if the request may run only once.
 */
bool
attribution_allows(const struct upstream *up, const struct exchange *x)
{
	if (head_find(&x->head, up->flow->dialect.attempt_header).data == NULL)
		return false;
	return !up->unnamed_rejection || route_is_idempotent(x->route);
}

/*
 * Returns the id of the target that has sent a final response, or NULL if that
 * is uncertain.  A response that belongs to another request of the connection
 * comes from the same target.  The address may have passed to another target:
 * that one rejects a request that expects the former one, but may answer a
 * probe, so a response to a probe must name its target.
 */
const char *
attribution_target(const struct upstream *up)
{
	struct str identity =
	    head_find(&up->head, up->flow->dialect.identity_header);
	const char *target = NULL;

	if (up->attempt != NULL)
		target = up->attempt->target;
	else if (up->pool != NULL && identity.data != NULL)
		target = up->pool->id;
	if (target == NULL || up->parser.status_code == 421 ||
	    (identity.data != NULL && !str_equal_c(identity, target)))
		return NULL;
	return target;
}
