/*
 * Services whose targets reset connections when their slots and waiting places
 * are full.  A reset proves nothing, since the request may have run.  It is no
 * failure of a target that is known to be full, and requests that must not be
 * repeated go only where there is room.
 */
#include "placement/placement_defs.h"

/*
 * Returns whether a target's last report still says something.
 */
static bool
has_fresh_report(const struct target *t, uint64_t now_us)
{
	return t->reported_us != 0 &&
	    now_us - t->reported_us <= REPORT_FRESH_US;
}

/*
 * Returns whether a target is known to be full, apart from the sends of the
 * request that asks.  The number of its waiting places is not reported; it had
 * at least as many as requests that ever waited there.
 */
bool
placement_is_full(
    const struct placement *p, const char *target, void *user, uint64_t now_us)
{
	const struct target *t = g_hash_table_lookup(p->targets, target);
	const struct call *call = g_hash_table_lookup(p->calls, user);
	unsigned places, own = 0;

	if (t == NULL)
		return false;
	places = t->slots + t->most_waiting;
	for (unsigned i = 0; call != NULL && i < call->send_count; i++)
		own += call->sends[i].target == t ? 1 : 0;
	return target_occupied(t, now_us) >= places + own ||
	    (has_fresh_report(t, now_us) && t->reported_requests >= places);
}

/*
 * Returns whether targets of the service have reset connections when they were
 * full.
 */
bool
placement_has_resets(const struct placement *p, uint64_t now_us)
{
	return now_us < p->resets_until_us;
}

/*
 * Remembers that targets of the service reset connections when they are full.
 */
void
placement_note_resets(struct placement *p, uint64_t now_us)
{
	p->resets_until_us = now_us + RESETS_REMEMBERED_US;
}

/*
 * Returns whether a request may be sent to a target with regard to resets: one
 * that must not be repeated needs a target with room by a fresh report, if the
 * service's targets have reset connections when they were full.
 */
bool
target_room_is_known(const struct placement *p, const struct target *t,
    const struct placement_request *request, uint64_t now_us)
{
	if (request->idempotent || !placement_has_resets(p, now_us))
		return true;
	return has_fresh_report(t, now_us) &&
	    target_occupied(t, now_us) < t->slots &&
	    t->reported_requests < t->slots;
}

/*
 * Records the end of a send for the rules of this file.
 */
void
placement_record_refusal(
    struct placement *p, enum placement_outcome outcome, uint64_t now_us)
{
	switch (outcome) {
	case OUTCOME_RESET_FULL:
		placement_note_resets(p, now_us);
		refusal_window_record(&p->refusals, true, now_us);
		break;
	case OUTCOME_SHED:
		refusal_window_record(&p->refusals, true, now_us);
		break;
	case OUTCOME_ANSWERED:
	case OUTCOME_FAILED:
	case OUTCOME_TIMED_OUT:
		refusal_window_record(&p->refusals, false, now_us);
		break;
	case OUTCOME_UNREACHABLE:
	case OUTCOME_ABANDONED:
		break;
	}
}
