/*
 * Targets that have named the rate of requests that they take from all entries
 * together.  The scheduler grants that rate.  All entries that place on their
 * own view, because it does not answer them, grant half of it in sum.
 */
#include <math.h>

#include "placement/placement_defs.h"

enum {
	/* Most requests at once beyond a limit. */
	SCHEDULER_BURST = 4,
	OWN_VIEW_BURST = 1,
	/* Of a placement that got no request for this time. */
	OWN_VIEW_IDLE_US = 1000 * 1000
};

/* Answers show that a limit near 0 has ended. */
static const double limit_min_per_s = 0.25;

/*
 * Returns the rate at which this placement may grant a limited target.
 */
struct token_rate
target_limit_rate(const struct placement *p, const struct target *t)
{
	double per_s = fmax(t->limit_per_s, limit_min_per_s);

	if (!p->is_scheduler)
		return (struct token_rate){
		    per_s * p->own_view_share, OWN_VIEW_BURST};
	return (struct token_rate){per_s, SCHEDULER_BURST};
}

/*
 * Discards the tokens of all limited targets.
 */
void
placement_empty_limits(struct placement *p, uint64_t now_us)
{
	if (p->limited_count == 0)
		return;
	for (guint i = 0; i < p->order->len; i++) {
		struct target *t = p->order->pdata[i];

		token_bucket_empty(&t->limit, now_us);
	}
}

/*
 * Discards the tokens that an entry has saved while the scheduler answered it:
 * all entries may lose it at the same moment.
 */
void
placement_note_submission(struct placement *p, uint64_t now_us)
{
	if (!p->is_scheduler && now_us - p->submitted_us > OWN_VIEW_IDLE_US)
		placement_empty_limits(p, now_us);
	p->submitted_us = now_us;
}

/*
 * Sets which part of a target's limit this placement may use while it is not
 * the scheduler.
 */
void
placement_set_own_view_share(struct placement *p, double share)
{
	p->own_view_share = share;
}

/*
 * Sets the requests per second that a target takes; a negative number: it has
 * no limit.  The bucket of a new limit is empty, since the target got more
 * until now.
 */
void
placement_set_rate_limit(
    struct placement *p, const char *target, double per_s, uint64_t now_us)
{
	struct target *t = g_hash_table_lookup(p->targets, target);
	bool limited = per_s >= 0;

	if (t == NULL)
		return;
	if (limited && !t->limited)
		token_bucket_empty(&t->limit, now_us);
	if (limited != t->limited)
		p->limited_count += limited ? 1 : -1U;
	t->limited = limited;
	t->limit_per_s = per_s;
}
