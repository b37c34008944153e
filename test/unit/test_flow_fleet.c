/*
 * What an entry does with a fleet of hundreds: nothing that grows with it
 * while it schedules nothing, and one owner of each part from the start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/memory.h"
#include "roster/candidate.h"
#include "support_flow.h"

enum {
	SETTLE_MS = 2500, /* until owners are chosen, whoever is ready */
	WATCH_MS = 1000
};

/* A fleet as one control instance tells of it. */
struct fleet {
	unsigned entries;
	unsigned counted; /* by control, though it tells of none yet */
	struct channel *told;
};

static void
fill_hello(
    Fleet__Hello *hello, char name[32], char at[ADDRESS_BYTES], unsigned number)
{
	snprintf(name, 32, "entry-%u", number);
	snprintf(
	    at, ADDRESS_BYTES, "127.1.%u.%u:7", number / 250, 1 + number % 250);
	hello->instance = name;
	hello->datagram_address = at;
	hello->ready = true;
	hello->processor_millis = number < 6 ? 250 : 100;
}

static void
tell_fleet(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct fleet *fleet = ctx;

	if (frame->body_case != FLEET__FRAME__BODY_HELLO ||
	    fleet->told == channel)
		return;
	fleet->told = channel;
	if (fleet->counted > 0)
		flow_control_send_members(channel, fleet->counted, 250);
	flow_control_send_document(channel, STR_LITERAL("text"));
	for (unsigned i = 0; i < fleet->entries; i++) {
		Fleet__Hello hello = FLEET__HELLO__INIT;
		char name[32], at[ADDRESS_BYTES];

		fill_hello(&hello, name, at, i);
		flow_control_send_entry(channel, &hello, false);
	}
	flow_control_send_synced(channel);
}

/*
 * Returns what the timers of an entry look at in a second, in a fleet of so
 * many targets and entries in which others schedule.
 */
static uint64_t
visits_when_idle(unsigned targets, unsigned entries)
{
	struct fleet fleet = {.entries = entries};
	struct flow_control control = {.message = tell_fleet, .ctx = &fleet};
	struct flow_bed bed;
	uint64_t before;

	flow_bed_open(&bed, REPEAT_ALLOWED);
	flow_bed_announce_many(&bed, 0, targets - 1);
	flow_bed_join(&bed, &control);
	flow_bed_run(&bed, SETTLE_MS);
	assert_true(bed.flow->ready);
	assert_int_equal(g_hash_table_size(bed.flow->pools), targets);
	assert_int_equal(fleet_size(bed.flow), entries);
	before = (uint64_t)counter_get(bed.flow->scanned);
	flow_bed_run(&bed, WATCH_MS);
	before = (uint64_t)counter_get(bed.flow->scanned) - before;
	assert_int_equal((uint64_t)counter_get(bed.flow->probes), 0);
	flow_bed_leave(&bed, &control);
	flow_bed_close(&bed, NULL);
	return before;
}

static void
an_entry_that_schedules_nothing_does_nothing_with_the_fleet(
    void **state ATTR_UNUSED)
{
	/* The large deployment, and letter 1's targets beside 1,000 entries. */
	assert_int_equal(visits_when_idle(1080, 476), 0);
	assert_int_equal(visits_when_idle(3100, 1000), 0);
}

static void
an_entry_that_may_not_schedule_leaves_it_to_others(void **state ATTR_UNUSED)
{
	/* All with more processor time are gone, or not known yet. */
	static const struct {
		unsigned counted;
		bool owner;
	} cases[] = {{CANDIDATE_FLEET_MIN - 1, true}, {476, false}};

	for (size_t i = 0; i < 2; i++) {
		struct fleet fleet = {.counted = cases[i].counted};
		struct flow_control control = {
		    .message = tell_fleet, .ctx = &fleet};
		struct flow_bed bed;

		flow_bed_open(&bed, REPEAT_ALLOWED);
		bed.flow->settings.processor_millis = 100;
		bed.flow->own_address_hash = CANDIDATE_SAMPLE_ONE_IN + 1;
		flow_bed_join(&bed, &control);
		flow_bed_run(&bed, SETTLE_MS);
		assert_true(bed.flow->ready);
		assert_int_equal(fleet_size(bed.flow), cases[i].counted - 1);
		assert_int_equal(
		    fleet_service(bed.flow, "svc")->owner, cases[i].owner);
		flow_bed_leave(&bed, &control);
		flow_bed_close(&bed, NULL);
	}
}

static void
control_instances_that_are_gone_make_room(void **state ATTR_UNUSED)
{
	/* A day of replaced seeds: 16 were kept before, the first ones. */
	enum {
		REPLACED = 70,
		AT_A_TIME = 18
	};
	struct flow_bed bed;
	const char *seeds[AT_A_TIME];
	char address[AT_A_TIME][ADDRESS_BYTES];

	flow_bed_open(&bed, REPEAT_ALLOWED);
	bed.flow->settings.seeds = seeds;
	for (unsigned first = 0; first + AT_A_TIME <= REPLACED; first += 13) {
		for (unsigned i = 0; i < AT_A_TIME; i++) {
			snprintf(address[i], sizeof(address[i]), "127.0.4.%u:9",
			    1 + first + i);
			seeds[i] = address[i];
		}
		bed.flow->settings.seed_count = AT_A_TIME;
		fleet_tick(bed.flow);
		for (unsigned i = 0; i < AT_A_TIME; i++)
			assert_non_null(
			    g_hash_table_lookup(bed.flow->controls, seeds[i]));
		/* A minute later, by what they note. */
		for (unsigned i = 0; i < 13; i++) {
			struct control *old =
			    g_hash_table_lookup(bed.flow->controls, seeds[i]);

			old->last_named_us = 0;
		}
		bed.flow->controls_expire_due_us = 0;
		bed.flow->settings.seed_count = 0;
		bed.loop.time += 61 * 1000;
		fleet_tick(bed.flow);
		assert_in_range(
		    g_hash_table_size(bed.flow->controls), 0, AT_A_TIME);
	}
	flow_bed_close(&bed, NULL);
}

/* Entries that start at once, and the one control instance that all dial. */
enum {
	STARTERS = 150, /* four descriptors each, of 1,024 */
	WIDE = 6,
	START_TARGETS = 160,
	/* Each is told that all is said at another moment within this time. */
	SPREAD_MS = 600,
	GUARD_MS = 60000 /* only against a hang */
};

struct start {
	uv_loop_t *loop;
	struct flow *flows[STARTERS];
	struct {
		struct channel *channel;
		Fleet__Hello *hello;
		uint64_t synced_ms;
		bool synced;
	} peers[STARTERS];
	unsigned count;
	uint64_t began_ms;
	unsigned most_owners; /* of one part at a time */
	unsigned owner_changes;
};

static Fleet__Hello *
copy_hello(const Fleet__Hello *from)
{
	uint8_t bytes[1024];
	size_t len = fleet__hello__pack(from, bytes);

	return fleet__hello__unpack(NULL, len, bytes);
}

/*
 * Hands on what one entry says of itself to all that are known, as a control
 * instance does.
 */
static void
hand_on(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct start *start = ctx;
	unsigned at = 0;

	if (frame->body_case != FLEET__FRAME__BODY_HELLO)
		return;
	/* One that was silent for too long on a busy machine dials again. */
	while (at < start->count &&
	    strcmp(start->peers[at].hello->datagram_address,
		frame->hello->datagram_address) != 0)
		at++;
	if (at == start->count) {
		assert_true(start->count < STARTERS);
		start->count++;
		start->peers[at].synced_ms =
		    start->began_ms + (uint64_t)at * SPREAD_MS / STARTERS;
	} else {
		fleet__hello__free_unpacked(start->peers[at].hello, NULL);
	}
	start->peers[at].hello = copy_hello(frame->hello);
	if (start->peers[at].channel != channel) {
		start->peers[at].channel = channel;
		start->peers[at].synced = false;
		for (unsigned i = 0; i < start->count; i++)
			if (i != at)
				flow_control_send_entry(
				    channel, start->peers[i].hello, false);
	}
	for (unsigned i = 0; i < start->count; i++)
		if (i != at && start->peers[i].channel != NULL)
			flow_control_send_entry(start->peers[i].channel,
			    start->peers[at].hello, false);
}

static void
forget_channel(void *ctx, struct channel *channel)
{
	struct start *start = ctx;

	for (unsigned i = 0; i < start->count; i++)
		if (start->peers[i].channel == channel)
			start->peers[i].channel = NULL;
}

static void
say_all(struct start *start)
{
	for (unsigned i = 0; i < start->count; i++) {
		if (start->peers[i].synced || start->peers[i].channel == NULL ||
		    uv_now(start->loop) < start->peers[i].synced_ms)
			continue;
		start->peers[i].synced = true;
		flow_control_send_document(
		    start->peers[i].channel, STR_LITERAL("text"));
		flow_control_send_synced(start->peers[i].channel);
	}
}

/*
 * Counts the owners of each part.
 */
static unsigned
count_owners(struct start *start)
{
	GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned most = 0;

	for (unsigned i = 0; i < STARTERS; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, start->flows[i]->services);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct service *service = value;
			guint count;

			if (!service->owner || service->pools->len == 0)
				continue;
			count = GPOINTER_TO_UINT(g_hash_table_lookup(
				    owners, service->name)) +
			    1;
			g_hash_table_insert(
			    owners, service->name, GUINT_TO_POINTER(count));
			most = count > most ? count : most;
		}
	}
	g_hash_table_destroy(owners);
	return most;
}

static void
all_that_start_at_once_agree_on_one_owner(void **state ATTR_UNUSED)
{
	static struct start start;
	struct flow_control control = {
	    .message = hand_on, .closed = forget_channel, .ctx = &start};
	struct flow_bed bed;
	const char *seeds[1];
	uint64_t probes;

	flow_bed_open(&bed, REPEAT_ALLOWED);
	start.loop = &bed.loop;
	start.began_ms = uv_now(&bed.loop) + 300;
	flow_control_open(&bed.loop, &control);
	seeds[0] = control.address;
	for (unsigned i = 0; i < STARTERS; i++) {
		struct flow_settings settings = bed.flow->settings;
		char at[ADDRESS_BYTES];

		snprintf(at, sizeof(at), "127.0.6.%u:32050", 1 + i);
		settings.datagram_address = str_dup(str_from(at));
		settings.processor_millis = i < WIDE ? 250 : 100;
		settings.seeds = seeds;
		settings.seed_count = 1;
		assert_int_equal(flow_open(&bed.loop, &settings,
				     &bed.flow->dialect, &start.flows[i]),
		    STATUS_OK);
		for (unsigned t = 0; t < START_TARGETS; t++) {
			char id[32];
			struct roster_target target = {
			    .id = id,
			    .service = (char *)"svc",
			    .address = bed.target_address,
			    .failure_domain = (char *)"a",
			    .started_ms = 1,
			    .slots = 4,
			};
			char address[ADDRESS_BYTES];

			snprintf(id, sizeof(id), "t-%u", t);
			snprintf(
			    address, sizeof(address), "127.0.5.%u:9", 1 + t);
			target.address = address;
			assert_true(
			    roster_announce(start.flows[i]->roster, &target));
		}
	}
	probes = (uint64_t)counter_get(bed.flow->probes);
	/* By what has come about and not by the clock: machines are busy. */
	while (uv_now(&bed.loop) < start.began_ms + SETTLE_MS ||
	    ((uint64_t)counter_get(bed.flow->probes) - probes < START_TARGETS &&
		uv_now(&bed.loop) < start.began_ms + GUARD_MS)) {
		unsigned owners;

		(void)uv_run(&bed.loop, UV_RUN_ONCE);
		say_all(&start);
		owners = count_owners(&start);
		if (owners > start.most_owners)
			start.most_owners = owners;
	}
	/* Each entry for itself until now: 150 owners of each part. */
	assert_int_equal(start.most_owners, 1);
	/* The owner's alone: of each target no more than its rate. */
	probes = (uint64_t)counter_get(bed.flow->probes) - probes;
	assert_in_range(probes, START_TARGETS,
	    (double)(uv_now(&bed.loop) + SPREAD_MS - start.began_ms) / 1000 *
		START_TARGETS * bed.flow->settings.probes_per_second);
	channel_listener_close(control.listener);
	for (unsigned i = 0; i < STARTERS; i++) {
		mem_free((char *)start.flows[i]->settings.datagram_address);
		flow_close(start.flows[i]);
	}
	/* What is still on its way counts for nothing. */
	control.message = NULL;
	flow_bed_close(&bed, NULL);
	for (unsigned i = 0; i < STARTERS; i++) {
		fleet__hello__free_unpacked(start.peers[i].hello, NULL);
		flow_free(start.flows[i]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		an_entry_that_schedules_nothing_does_nothing_with_the_fleet),
	    cmocka_unit_test(
		an_entry_that_may_not_schedule_leaves_it_to_others),
	    cmocka_unit_test(control_instances_that_are_gone_make_room),
	    cmocka_unit_test(all_that_start_at_once_agree_on_one_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
