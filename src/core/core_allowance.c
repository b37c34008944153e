/*
 * This instance's share of the allowances of client accounts.  2 f + 1 voters
 * of the group hold one share each.  A share must have one holder at a time,
 * although a voter that is replaced may be cut off and not know it: a holder
 * grants only while it is in touch with the leader, and the next one waits
 * until the one before it must have stopped.
 */
#include <inttypes.h>

#include "base/clock.h"
#include "base/logger.h"
#include "core/core_internal.h"
#include "wire/fleet_bounds.h"

enum {
	/* A holder without touch with the leader grants for this long. */
	TOUCH_MS = 3000,
	/* A new holder waits longer than that, by a second for slow loops. */
	SUCCESSION_MS = 4000,
	SWEEP_MS = 60 * 1000
};

/* Ids with this bit were drawn by replicas that joined a group. */
#define JOINED_ID_BIT (UINT64_C(1) << 47)

/*
 * Creates an empty table and the metrics.
 */
void
core_allowance_open(struct core *core)
{
	struct core_allowance *a = &core->allowance;
	uint64_t window_ms = core->settings.quota_window_ms > 0
	    ? core->settings.quota_window_ms
	    : ALLOWANCE_WINDOW_MS;
	const struct {
		struct counter **counter;
		const char *name;
		const char *help;
	} list[] = {
	    {&a->granted, "gypsummill_core_allowance_tokens_total",
		"Tokens of allowances granted to entries (count)"},
	    {&a->refused, "gypsummill_core_allowance_refused_total",
		"Draws of entries for which the bucket had no token (count)"},
	    {&a->unavailable, "gypsummill_core_allowance_unavailable_total",
		"Draws of entries while this instance may not grant (count)"},
	    {&a->returned, "gypsummill_core_allowance_returned_total",
		"Tokens that entries have returned in time (count)"},
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i].counter = counter_register(
		    COUNTER_TOTAL, list[i].name, list[i].help, NULL);
	a->buckets =
	    counter_register(COUNTER_GAUGE, "gypsummill_core_allowance_buckets",
		"Accounts with a bucket at this instance (count)", NULL);
	a->shares = 2 * core->settings.losses + 1;
	a->started_us = clock_boot_us();
	a->table = allowance_table_new(
	    a->shares, window_ms * US_PER_MS, a->started_us);
	core_floors_open(core);
}

/*
 * Frees the table.
 */
void
core_allowance_close(struct core *core)
{
	core_floors_close(core);
	core_share_close(core);
	allowance_table_free(core->allowance.table);
	core->allowance.table = NULL;
}

/*
 * Starts anew for a replica that was opened.  A first member of a group that
 * has at most as many voters as shares has had its share from the beginning and
 * succeeds nobody, so it need not wait.
 */
void
core_allowance_on_opened(struct core *core)
{
	struct core_allowance *a = &core->allowance;
	bool first = (core->replica_id & JOINED_ID_BIT) == 0 &&
	    (core->info.last_index == 0 ||
		core->settings.seed_count <= a->shares);

	a->replica_id = core->replica_id;
	a->held_since_us = 0;
	a->granting = false;
	a->wait_us = first ? 0 : SUCCESSION_MS * US_PER_MS;
	a->share_index = core_share_read(core);
	core_floors_on_opened(core);
}

/*
 * Returns whether a member holds a share: the first ones of the voters in the
 * order of their promotion.  A successor is promoted before the voter that it
 * replaces is removed, and holds none until then.
 */
bool
core_allowance_is_holder(const struct core *core, unsigned i)
{
	unsigned before = 0;

	for (unsigned j = 0; j < i; j++)
		before += core->info.members[j].voter ? 1 : 0;
	return core->info.members[i].voter && before < core->allowance.shares;
}

static bool
is_own_holder(const struct core *core)
{
	if (core->replica == NULL || core->rejoin_due ||
	    core->info.role == REPLICA_STOPPED)
		return false;
	for (unsigned i = 0; i < core->info.member_count; i++)
		if (core->info.members[i].id == core->replica_id)
			return core_allowance_is_holder(core, i);
	return false;
}

/*
 * Returns whether, by its file, this replica has held its share with the latest
 * list of members.  That list is then committed, also if the replica does not
 * know it yet.
 */
static bool
has_held_with_list(const struct core *core)
{
	const struct core_allowance *a = &core->allowance;

	return a->share_index != 0 && core->info.last_index >= a->share_index &&
	    core->info.members_index <= a->share_index;
}

/*
 * Returns whether the replica has held its share since its file was written.
 * Voters are listed in the order of their promotion, and a voter that was
 * removed joins again under another id: one of the first voters stays one of
 * them until it is removed, whatever else has changed in the list.
 */
static bool
has_kept_share(const struct core *core)
{
	const struct core_allowance *a = &core->allowance;

	return a->share_index != 0 && core->info.last_index >= a->share_index &&
	    (core->info.members_committed || has_held_with_list(core));
}

/*
 * Returns the latest time at which no list with a successor to this replica's
 * share can have been committed, in microseconds; 0: not known.  A successor
 * grants SUCCESSION_MS after the commit of its list.
 */
static uint64_t
last_touch_us(const struct core *core)
{
	uint64_t touch_us = core->info.touch_us;

	if (has_held_with_list(core) && core->info.list_us > touch_us)
		touch_us = core->info.list_us;
	return touch_us;
}

/*
 * Returns whether this instance may grant now.  Evaluated for each draw: this
 * process may have been frozen since the last tick.
 */
static bool
may_grant(const struct core *core, uint64_t now_us)
{
	uint64_t touch_us = last_touch_us(core);

	return core->allowance.granting && is_own_holder(core) &&
	    touch_us != 0 && now_us - touch_us <= TOUCH_MS * US_PER_MS;
}

/*
 * Returns whether the list of members that names this replica as a holder is
 * in effect: it is committed, and the log has caught up with the leader, or a
 * majority has no later one.
 */
static bool
is_list_in_effect(const struct core *core)
{
	if (core->info.members_committed &&
	    replica_has_caught_up(core->replica))
		return true;
	return has_held_with_list(core) && core->info.list_us != 0;
}

/*
 * Follows the list of members, and sweeps the buckets.  A list that is not
 * committed yet may end a share but not begin one.  After a start the log may
 * lack a later list until it has caught up with the leader, or a majority has
 * said that it knows none.  Buckets of a holder that need not wait fill from
 * the start of the process: it has granted nothing before, and nobody else has
 * granted from its share.
 */
void
core_allowance_tick(struct core *core, uint64_t now_us)
{
	struct core_allowance *a = &core->allowance;
	bool held = is_own_holder(core);

	if (!held) {
		bool is_committed =
		    core->info.member_count > 0 && core->info.members_committed;

		a->held_since_us = 0;
		/* A later share succeeds somebody. */
		if (a->granting || is_committed)
			a->wait_us = SUCCESSION_MS * US_PER_MS;
		if (is_committed)
			a->share_index = 0;
	} else if (a->held_since_us == 0 && is_list_in_effect(core)) {
		a->held_since_us = now_us;
	}
	if (a->held_since_us != 0 && !a->granting && has_kept_share(core))
		a->wait_us = 0;
	held = a->held_since_us != 0 && now_us - a->held_since_us >= a->wait_us;
	if (held != a->granting) {
		a->granting = held;
		if (a->wait_us > 0)
			allowance_table_reset(a->table, now_us);
		if (held)
			core_floors_on_granting(
			    core, a->wait_us == 0 && has_kept_share(core));
		log_info("allowance_share",
		    "instance=%s holder=%d shares=%u waited_ms=%" PRIu64,
		    core->settings.instance, held, a->shares,
		    a->wait_us / US_PER_MS);
	}
	core_share_tick(core, now_us);
	core_floors_tick(core, now_us);
	if (now_us < a->next_sweep_us)
		return;
	a->next_sweep_us = now_us + SWEEP_MS * US_PER_MS;
	allowance_table_sweep(a->table, now_us);
	counter_set(a->buckets, allowance_table_count(a->table));
}

/*
 * Returns the number that stands for an entry, also after it has connected
 * again.
 */
static uint64_t
holder_of(const struct core_peer *peer)
{
	return str_hash(str_from(peer->hello->datagram_address));
}

/*
 * Draws tokens for an entry.
 */
void
core_on_draw(
    struct core *core, const struct core_peer *peer, const Fleet__Draw *draw)
{
	struct core_allowance *a = &core->allowance;
	uint64_t now = clock_boot_us();
	const struct allowance_limit limit = {
	    .rate_per_s = draw->rate,
	    .burst = draw->burst,
	    .document_index = draw->document_index,
	};
	struct allowance_result result = {.unavailable = true};
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DrawResult message = FLEET__DRAW_RESULT__INIT;

	if (draw->rate > 0 && may_grant(core, now))
		result = allowance_table_draw(a->table, draw->account, &limit,
		    holder_of(peer), draw->request, draw->want, now);
	counter_add(a->granted, result.granted);
	if (result.unavailable)
		counter_add(a->unavailable, 1);
	else if (result.granted == 0)
		counter_add(a->refused, 1);
	message.request = draw->request;
	message.granted = result.granted;
	message.unavailable = result.unavailable;
	message.retry_after_ms =
	    fleet_clamp((result.retry_us + US_PER_MS - 1) / US_PER_MS,
		FLEET_DURATION_MAX_MS);
	frame.body_case = FLEET__FRAME__BODY_DRAW_RESULT;
	frame.draw_result = &message;
	channel_send(peer->channel, &frame);
}

/*
 * Takes back tokens that an entry has not used.
 */
void
core_on_draw_return(struct core *core, const struct core_peer *peer,
    const Fleet__DrawReturn *message)
{
	struct core_allowance *a = &core->allowance;

	counter_add(a->returned,
	    allowance_table_return(a->table, message->account, holder_of(peer),
		message->request, message->count, clock_boot_us()));
}
