#include "wire/fleet_bounds.h"

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* A number of a message and its largest value. */
struct bound {
	const char *name;
	uint64_t value;
	uint64_t max;
};

/*
 * Returns the name of the first number above its bound, or NULL.
 */
static const char *
first_above(const struct bound *bounds, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (bounds[i].value > bounds[i].max)
			return bounds[i].name;
	}
	return NULL;
}

#define FIRST_ABOVE(bounds) \
	first_above(bounds, sizeof(bounds) / sizeof((bounds)[0]))

/*
 * Returns whether speeds are percentages, one for each level.
 */
static bool
are_speeds(ProtobufCBinaryData speed)
{
	if (speed.len != FLEET_SPEED_LEVELS)
		return false;
	for (size_t i = 0; i < speed.len; i++) {
		if (speed.data[i] > FLEET_SPEED_MAX)
			return false;
	}
	return true;
}

static const char *
ask_fault(const Fleet__Ask *ask)
{
	const struct bound bounds[] = {
	    {"objective_left_ms", ask->objective_left_ms,
		FLEET_DURATION_MAX_MS},
	    {"deadline_left_ms", ask->deadline_left_ms, FLEET_DURATION_MAX_MS},
	    {"sends_left", ask->sends_left, FLEET_SENDS_MAX},
	    {"excluded", ask->n_excluded, FLEET_EXCLUDED_MAX},
	    {"ended", ask->n_ended, FLEET_ENDED_MAX},
	};

	return FIRST_ABOVE(bounds);
}

static const char *
grant_fault(const Fleet__Grant *grant)
{
	const struct bound bounds[] = {
	    {"expected_ms", grant->expected_ms, FLEET_DURATION_MAX_MS},
	    {"parts", grant->parts, FLEET_PARTS_MAX},
	    {"work_us", grant->work_us, FLEET_WORK_MAX_US},
	    {"load", grant->load, FLEET_LOAD_MAX},
	};

	if (grant->speed.len > 0 && !are_speeds(grant->speed))
		return "speed";
	return FIRST_ABOVE(bounds);
}

static const char *
reject_fault(const Fleet__Reject *reject)
{
	const struct bound bounds[] = {
	    {"retry_after_ms", reject->retry_after_ms, FLEET_DURATION_MAX_MS},
	    {"reason", reject->reason, FLEET_REASON_MAX},
	    {"load", reject->load, FLEET_LOAD_MAX},
	};

	if (reject->reason < FLEET_REASON_MIN)
		return "reason";
	return FIRST_ABOVE(bounds);
}

static const char *
held_fault(const Fleet__Held *held)
{
	return held->load > FLEET_LOAD_MAX ? "load" : NULL;
}

static const char *
done_fault(const Fleet__Done *done)
{
	const struct bound bounds[] = {
	    {"outcome", done->outcome, FLEET_OUTCOME_MAX},
	    {"took_ms", done->took_ms, FLEET_DURATION_MAX_MS},
	    {"running", done->running, FLEET_LOAD_REQUESTS_MAX},
	    {"waiting", done->waiting, FLEET_LOAD_REQUESTS_MAX},
	    {"slots", done->slots, FLEET_LOAD_REQUESTS_MAX},
	    {"slowness", done->slowness, FLEET_LOAD_SLOWNESS_MAX},
	    {"started_ms", done->started_ms, FLEET_TIME_MAX_MS},
	    {"away_ms", done->away_ms, FLEET_DURATION_MAX_MS},
	    {"target_started_ms", done->target_started_ms, FLEET_TIME_MAX_MS},
	};
	const Fleet__RateLimit *rate = done->rate_limit;

	if (rate != NULL && rate->micros_per_s > FLEET_RATE_MAX_MICROS)
		return "micros_per_s";
	if (rate != NULL && rate->started_ms > FLEET_TIME_MAX_MS)
		return "started_ms";
	return FIRST_ABOVE(bounds);
}

/*
 * Checks what is told of a request that is refused.
 */
const char *
fleet_quarantine_fault(const Fleet__Quarantine *quarantine)
{
	return quarantine->left_ms > FLEET_DURATION_MAX_MS ? "left_ms" : NULL;
}

/*
 * Checks a datagram of another entry.
 */
const char *
fleet_datagram_fault(const Fleet__Datagram *datagram)
{
	switch (datagram->body_case) {
	case FLEET__DATAGRAM__BODY_ASK:
		return ask_fault(datagram->ask);
	case FLEET__DATAGRAM__BODY_GRANT:
		return grant_fault(datagram->grant);
	case FLEET__DATAGRAM__BODY_REJECT:
		return reject_fault(datagram->reject);
	case FLEET__DATAGRAM__BODY_HELD:
		return held_fault(datagram->held);
	case FLEET__DATAGRAM__BODY_DONE:
		return done_fault(datagram->done);
	case FLEET__DATAGRAM__BODY_QUARANTINE:
		return fleet_quarantine_fault(datagram->quarantine);
	default:
		return NULL;
	}
}

static const char *
hello_fault(const Fleet__Hello *hello)
{
	const struct bound bounds[] = {
	    {"processor_millis", hello->processor_millis, FLEET_MILLIS_MAX},
	    {"link_kbps", hello->link_kbps, FLEET_LINK_MAX_KBPS},
	    {"started_ms", hello->started_ms, FLEET_TIME_MAX_MS},
	};

	return FIRST_ABOVE(bounds);
}

static const char *
members_fault(const Fleet__Members *members)
{
	const struct bound bounds[] = {
	    {"address", members->n_address, FLEET_CONTROLS_MAX},
	    {"voters", members->voters, FLEET_CONTROLS_MAX},
	    {"voter", members->n_voter, FLEET_CONTROLS_MAX},
	    {"entries", members->entries, FLEET_ENTRIES_MAX},
	    {"most_millis", members->most_millis, FLEET_MILLIS_MAX},
	};

	return FIRST_ABOVE(bounds);
}

static const char *
departure_fault(const Fleet__Departure *departure)
{
	const struct bound bounds[] = {
	    {"started_ms", departure->started_ms, FLEET_TIME_MAX_MS},
	    {"born_ms", departure->born_ms, FLEET_TIME_MAX_MS},
	    {"recorded_ms", departure->recorded_ms, FLEET_TIME_MAX_MS},
	};

	return FIRST_ABOVE(bounds);
}

/*
 * Checks what a scheduler has learnt of a service.
 */
const char *
fleet_estimate_fault(const Fleet__Estimate *estimate)
{
	if (strlen(estimate->service) >= FLEET_SERVICE_BYTES)
		return "service";
	if (estimate->n_route > FLEET_ROUTES_MAX ||
	    estimate->n_work_us != estimate->n_route)
		return "route";
	for (size_t i = 0; i < estimate->n_work_us; i++) {
		if (estimate->work_us[i] > FLEET_WORK_MAX_US)
			return "work_us";
	}
	return are_speeds(estimate->speed) ? NULL : "speed";
}

/*
 * Returns whether a name has 1 to FLEET_NAME_BYTES bytes.
 */
static bool
is_name(const char *name)
{
	size_t len = strlen(name);

	return len > 0 && len <= FLEET_NAME_BYTES;
}

static const char *
evacuations_fault(const Fleet__Evacuations *evacuations)
{
	if (evacuations->n_failure_domain > FLEET_EVACUATIONS_MAX)
		return "failure_domain";
	for (size_t i = 0; i < evacuations->n_failure_domain; i++) {
		if (!is_name(evacuations->failure_domain[i]))
			return "failure_domain";
	}
	return NULL;
}

/*
 * Returns whether a number is within the bounds of a rate or a burst; false for
 * NaN.
 */
static bool
is_allowance(double value)
{
	return value >= 0 && value <= FLEET_ALLOWANCE_MAX;
}

static const char *
draw_fault(const Fleet__Draw *draw)
{
	if (!is_name(draw->account))
		return "account";
	if (!is_allowance(draw->rate))
		return "rate";
	if (!is_allowance(draw->burst))
		return "burst";
	return draw->want == 0 || draw->want > FLEET_TOKENS_MAX ? "want" : NULL;
}

static const char *
draw_result_fault(const Fleet__DrawResult *result)
{
	const struct bound bounds[] = {
	    {"granted", result->granted, FLEET_TOKENS_MAX},
	    {"retry_after_ms", result->retry_after_ms, FLEET_DURATION_MAX_MS},
	};

	return FIRST_ABOVE(bounds);
}

static const char *
draw_return_fault(const Fleet__DrawReturn *returned)
{
	if (!is_name(returned->account))
		return "account";
	return returned->count == 0 || returned->count > FLEET_TOKENS_MAX
	    ? "count"
	    : NULL;
}

/*
 * Checks a frame of a control instance or an entry, but for announcements,
 * which are checked as targets of the roster.
 */
const char *
fleet_frame_fault(const Fleet__Frame *frame)
{
	switch (frame->body_case) {
	case FLEET__FRAME__BODY_HELLO:
		return hello_fault(frame->hello);
	case FLEET__FRAME__BODY_ENTRY:
		return frame->entry->hello != NULL
		    ? hello_fault(frame->entry->hello)
		    : NULL;
	case FLEET__FRAME__BODY_MEMBERS:
		return members_fault(frame->members);
	case FLEET__FRAME__BODY_DEPARTURE:
		return departure_fault(frame->departure);
	case FLEET__FRAME__BODY_ESTIMATE:
		return fleet_estimate_fault(frame->estimate);
	case FLEET__FRAME__BODY_HEARD:
		return frame->heard->n_target > FLEET_TARGETS_MAX ? "target"
								  : NULL;
	case FLEET__FRAME__BODY_UNKNOWN:
		return frame->unknown->n_target > FLEET_TARGETS_MAX ? "target"
								    : NULL;
	case FLEET__FRAME__BODY_EVACUATIONS:
		return evacuations_fault(frame->evacuations);
	case FLEET__FRAME__BODY_DRAW:
		return draw_fault(frame->draw);
	case FLEET__FRAME__BODY_DRAW_RESULT:
		return draw_result_fault(frame->draw_result);
	case FLEET__FRAME__BODY_DRAW_RETURN:
		return draw_return_fault(frame->draw_return);
	case FLEET__FRAME__BODY_QUARANTINE:
		return fleet_quarantine_fault(frame->quarantine);
	case FLEET__FRAME__BODY_RESULT:
		return (unsigned)frame->result->outcome >
			FLEET__OUTCOME__OUTCOME_UNAVAILABLE
		    ? "outcome"
		    : NULL;
	default:
		return NULL;
	}
}
