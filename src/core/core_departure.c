/*
 * Departures that targets have announced to entries, in their answers.  They go
 * through the log like those that targets report to control.
 */
#include <inttypes.h>

#include "base/logger.h"
#include "base/memory.h"
#include "core/core_internal.h"

/* A departure that is being recorded. */
struct asked_departure {
	struct core *core;
	char *target;
	uint64_t started_ms;
};

static void
asked_departure_free(void *value)
{
	struct asked_departure *asked = value;

	mem_free(asked->target);
	mem_free(asked);
}

/*
 * Creates the table of departures that are being recorded.
 */
void
core_departures_open(struct core *core)
{
	core->asked_departures = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, asked_departure_free);
}

/*
 * Frees the table, after all pending requests are completed.
 */
void
core_departures_close(struct core *core)
{
	g_hash_table_destroy(core->asked_departures);
}

/*
 * A departure is recorded, or could not be: then its entry asks again.
 */
static void
on_recorded(void *ctx, enum core_outcome outcome)
{
	const struct asked_departure *asked = ctx;
	struct core *core = asked->core;

	if (outcome != CORE_ACCEPTED && core_may_log(core))
		log_warn("departure_not_recorded",
		    "instance=%s target=%s started=%" PRIu64 " next=asked_anew",
		    core->settings.instance, asked->target, asked->started_ms);
	g_hash_table_remove(core->asked_departures, asked->target);
}

/*
 * Sends a recorded departure to an entry that asks for it.
 */
static void
send_departure(
    const struct core_peer *peer, const char *target, uint64_t started_ms)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Departure departure = FLEET__DEPARTURE__INIT;

	departure.id = (char *)target;
	departure.started_ms = started_ms;
	frame.body_case = FLEET__FRAME__BODY_DEPARTURE;
	frame.departure = &departure;
	channel_send(peer->channel, &frame);
}

/*
 * An entry asks for a departure to be recorded.  It repeats that until it hears
 * of the departure, as do others; only one proposal for a target is pending.
 * A start that is later than the announced one is ignored: the target is not
 * known here yet, or the request is wrong.
 */
void
core_on_asked_departure(struct core *core, const struct core_peer *peer,
    const Fleet__Departure *message)
{
	const struct roster_target *known =
	    roster_find(core->roster, message->id);
	struct asked_departure *asked;
	uint64_t started_ms;

	if (roster_departed_start(core->roster, message->id, &started_ms) &&
	    message->started_ms <= started_ms) {
		send_departure(peer, message->id, started_ms);
		return;
	}
	if (known == NULL || message->started_ms > known->started_ms ||
	    g_hash_table_contains(core->asked_departures, message->id))
		return;
	asked = mem_calloc(1, sizeof(*asked));
	asked->core = core;
	asked->target = str_dup(str_from(message->id));
	asked->started_ms = message->started_ms;
	g_hash_table_insert(core->asked_departures, asked->target, asked);
	if (core_may_log(core))
		log_info("departure_asked",
		    "instance=%s entry=%s target=%s started=%" PRIu64,
		    core->settings.instance, peer->hello->instance,
		    asked->target, asked->started_ms);
	core_depart(core, asked->target, asked->started_ms, on_recorded, asked);
}
