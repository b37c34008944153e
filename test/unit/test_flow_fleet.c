/*
 * An entry in a fleet of hundreds: its timers must not scan the fleet while it
 * schedules nothing, and each part has one owner even during the start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/memory.h"
#include "roster/candidate.h"
#include "support_flow.h"

enum {
	SETTLE_MS = 2500, /* until owners are chosen */
	MEASURE_MS = 1000
};

/* A fleet as reported by one control instance. */
struct fleet {
	unsigned entries;
	/* size reported by control, which reports no entry yet */
	unsigned reported_entries;
	struct channel *informed;
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
send_fleet(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct fleet *fleet = ctx;

	/* As control, which sends all to whoever subscribes. */
	if (frame->body_case != FLEET__FRAME__BODY_HELLO ||
	    !frame->hello->wants_all || fleet->informed == channel)
		return;
	fleet->informed = channel;
	if (fleet->reported_entries > 0)
		fake_control_send_members(
		    channel, fleet->reported_entries, 250);
	fake_control_send_document(channel, FAKE_DOCUMENT, STR_LITERAL("text"));
	for (unsigned i = 0; i < fleet->entries; i++) {
		Fleet__Hello hello = FLEET__HELLO__INIT;
		char name[32], at[ADDRESS_BYTES];

		fill_hello(&hello, name, at, i);
		fake_control_send_entry(channel, &hello, false);
	}
	fake_control_send_synced(channel);
}

/*
 * Returns how many objects the timers of an entry scan in one second, in a
 * fleet with this many targets and entries, in which others schedule.
 */
static uint64_t
count_scanned_when_idle(unsigned targets, unsigned entries)
{
	struct fleet fleet = {.entries = entries};
	struct fake_control control = {.message = send_fleet, .ctx = &fleet};
	struct flow_fixture fixture;
	uint64_t before;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_announce_many(&fixture, 0, targets - 1);
	flow_fixture_join(&fixture, &control);
	flow_fixture_run(&fixture, SETTLE_MS);
	assert_true(fixture.flow->ready);
	assert_int_equal(g_hash_table_size(fixture.flow->pools), targets);
	assert_int_equal(fleet_other_entry_count(fixture.flow), entries);
	before = (uint64_t)counter_get(fixture.flow->scanned);
	flow_fixture_run(&fixture, MEASURE_MS);
	before = (uint64_t)counter_get(fixture.flow->scanned) - before;
	assert_int_equal((uint64_t)counter_get(fixture.flow->probes), 0);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, NULL);
	return before;
}

static void
idle_entry_scans_nothing_in_large_fleet(void **state ATTR_UNUSED)
{
	/* The large deployment, and 3,100 targets with 1,000 entries. */
	assert_int_equal(count_scanned_when_idle(1080, 476), 0);
	assert_int_equal(count_scanned_when_idle(3100, 1000), 0);
}

static void
non_candidate_entry_does_not_schedule(void **state ATTR_UNUSED)
{
	/* The entries with more processor time are gone, or not known yet. */
	static const struct {
		unsigned reported_entries;
		bool owner;
	} cases[] = {{CANDIDATE_FLEET_MIN - 1, true}, {476, false}};

	for (size_t i = 0; i < 2; i++) {
		struct fleet fleet = {
		    .reported_entries = cases[i].reported_entries};
		struct fake_control control = {
		    .message = send_fleet, .ctx = &fleet};
		struct flow_fixture fixture;

		flow_fixture_open(&fixture, REPEAT_ALLOWED);
		fixture.flow->settings.processor_millis = 100;
		fixture.flow->own_address_hash = CANDIDATE_SAMPLE_ONE_IN + 1;
		flow_fixture_join(&fixture, &control);
		flow_fixture_run(&fixture, SETTLE_MS);
		assert_true(fixture.flow->ready);
		assert_int_equal(fleet_other_entry_count(fixture.flow),
		    cases[i].reported_entries - 1);
		assert_int_equal(
		    fleet_service(fixture.flow, "svc")->owner, cases[i].owner);
		flow_fixture_leave(&fixture, &control);
		flow_fixture_close(&fixture, NULL);
	}
}

/*
 * Runs until an entry knows this many others; protects only against a hang.
 */
static void
run_until_others(struct flow_fixture *fixture, unsigned others)
{
	for (unsigned ms = 0;
	     ms < 20000 && fleet_other_entry_count(fixture->flow) != others;
	     ms += 100)
		flow_fixture_run(fixture, 100);
	assert_int_equal(fleet_other_entry_count(fixture->flow), others);
}

/*
 * Closes control's end; the entry connects again.
 */
static void
lose_control(struct fleet *fleet)
{
	struct channel *lost = fleet->informed;

	fleet->informed = NULL;
	channel_close(lost);
}

/*
 * Control is lost together with some entries, and is back at once: it doesn't
 * know that they were there.  Those that live are kept meanwhile.
 */
static void
entries_that_do_not_return_with_control_are_dropped(void **state ATTR_UNUSED)
{
	struct fleet fleet = {.entries = 5};
	struct fake_control control = {.message = send_fleet, .ctx = &fleet};
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_join(&fixture, &control);
	run_until_others(&fixture, 5);
	fleet.entries = 2;
	lose_control(&fleet);
	flow_fixture_run(&fixture, SETTLE_MS / 2);
	assert_int_equal(fleet_other_entry_count(fixture.flow), 5);
	run_until_others(&fixture, 2);
	flow_fixture_run(&fixture, SETTLE_MS);
	assert_int_equal(fleet_other_entry_count(fixture.flow), 2);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, NULL);
}

/*
 * Entries that connect to control after its return are no news.
 */
static void
entries_that_return_later_than_control_are_kept(void **state ATTR_UNUSED)
{
	struct fleet fleet = {.entries = 3};
	struct fake_control control = {.message = send_fleet, .ctx = &fleet};
	struct flow_fixture fixture;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_join(&fixture, &control);
	run_until_others(&fixture, 3);
	fleet.entries = 0;
	lose_control(&fleet);
	flow_fixture_run(&fixture, SETTLE_MS / 2);
	for (unsigned i = 0; i < 3; i++) {
		Fleet__Hello hello = FLEET__HELLO__INIT;
		char name[32], at[ADDRESS_BYTES];

		fill_hello(&hello, name, at, i);
		fake_control_send_entry(fleet.informed, &hello, false);
	}
	for (unsigned i = 0; i < 8; i++) {
		flow_fixture_run(&fixture, SETTLE_MS / 4);
		assert_int_equal(fleet_other_entry_count(fixture.flow), 3);
	}
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, NULL);
}

/*
 * An instance that sent lists is back, but another one sends them now: what it
 * had reported isn't kept, whichever of the two is synchronized first.
 */
static void
reports_of_an_instance_that_sends_no_lists_any_more_are_dropped(
    void **state ATTR_UNUSED)
{
	struct fleet fleet = {.entries = 3};
	struct fake_control control = {.message = send_fleet, .ctx = &fleet};
	struct control next = {.primary = true, .source_bit = 9};
	struct flow_fixture fixture;
	struct control *returned;
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Synced synced = FLEET__SYNCED__INIT;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	flow_fixture_join(&fixture, &control);
	run_until_others(&fixture, 3);
	returned = g_hash_table_lookup(fixture.flow->controls, control.address);
	returned->stale = true;
	returned->primary = false;
	returned->synced = true;
	synced.all = true;
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	updates_on_frame(fixture.flow, &next, &frame);
	fleet_tick(fixture.flow);
	assert_int_equal(fleet_other_entry_count(fixture.flow), 0);
	flow_fixture_leave(&fixture, &control);
	flow_fixture_close(&fixture, NULL);
}

static void
expired_control_instances_free_their_slots(void **state ATTR_UNUSED)
{
	/*
	 * The seeds are replaced over a day.  Guards against expired control
	 * instances that keep their slots: in a table of 16, only the first 16
	 * seeds of a process were ever contacted.
	 */
	enum {
		REPLACED = 70,
		AT_A_TIME = 18
	};
	struct flow_fixture fixture;
	const char *seeds[AT_A_TIME];
	char address[AT_A_TIME][ADDRESS_BYTES];

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	fixture.flow->settings.seeds = seeds;
	for (unsigned first = 0; first + AT_A_TIME <= REPLACED; first += 13) {
		for (unsigned i = 0; i < AT_A_TIME; i++) {
			snprintf(address[i], sizeof(address[i]), "127.0.4.%u:9",
			    1 + first + i);
			seeds[i] = address[i];
		}
		fixture.flow->settings.seed_count = AT_A_TIME;
		fleet_tick(fixture.flow);
		for (unsigned i = 0; i < AT_A_TIME; i++)
			assert_non_null(g_hash_table_lookup(
			    fixture.flow->controls, seeds[i]));
		/* Make the control instances look unused for a minute. */
		for (unsigned i = 0; i < 13; i++) {
			struct control *old = g_hash_table_lookup(
			    fixture.flow->controls, seeds[i]);

			old->last_named_us = 0;
		}
		fixture.flow->controls_expire_due_us = 0;
		fixture.flow->settings.seed_count = 0;
		fixture.loop.time += 61 * 1000;
		fleet_tick(fixture.flow);
		assert_in_range(
		    g_hash_table_size(fixture.flow->controls), 0, AT_A_TIME);
	}
	flow_fixture_close(&fixture, NULL);
}

/* Entries that start simultaneously with the same control instance as seed. */
enum {
	STARTING_ENTRIES = 150, /* with four descriptors each, limit 1,024 */
	LARGE_ENTRIES = 6,
	START_TARGETS = 160,
	/*
	 * The end of synchronization reaches each entry at another time in this
	 * span.
	 */
	SPREAD_MS = 600,
	HANG_TIMEOUT_MS = 60000 /* protects only against a hang */
};

struct startup {
	uv_loop_t *loop;
	struct flow *flows[STARTING_ENTRIES];
	struct {
		struct channel *channel;
		Fleet__Hello *hello;
		uint64_t synced_ms;
		bool synced;
	} peers[STARTING_ENTRIES];
	unsigned count;
	uint64_t start_ms;
	unsigned owners_max; /* of one part at a time */
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
 * Relays the hello of one entry to all known ones, like a control instance.
 */
static void
relay_hello(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct startup *startup = ctx;
	unsigned at = 0;

	if (frame->body_case != FLEET__FRAME__BODY_HELLO)
		return;
	/* An entry that timed out on a busy machine connects again. */
	while (at < startup->count &&
	    strcmp(startup->peers[at].hello->datagram_address,
		frame->hello->datagram_address) != 0)
		at++;
	if (at == startup->count) {
		assert_true(startup->count < STARTING_ENTRIES);
		startup->count++;
		startup->peers[at].synced_ms = startup->start_ms +
		    (uint64_t)at * SPREAD_MS / STARTING_ENTRIES;
	} else {
		fleet__hello__free_unpacked(startup->peers[at].hello, NULL);
	}
	startup->peers[at].hello = copy_hello(frame->hello);
	if (startup->peers[at].channel != channel) {
		startup->peers[at].channel = channel;
		startup->peers[at].synced = false;
		for (unsigned i = 0; i < startup->count; i++)
			if (i != at)
				fake_control_send_entry(
				    channel, startup->peers[i].hello, false);
	}
	for (unsigned i = 0; i < startup->count; i++)
		if (i != at && startup->peers[i].channel != NULL)
			fake_control_send_entry(startup->peers[i].channel,
			    startup->peers[at].hello, false);
}

static void
drop_channel(void *ctx, struct channel *channel)
{
	struct startup *startup = ctx;

	for (unsigned i = 0; i < startup->count; i++)
		if (startup->peers[i].channel == channel)
			startup->peers[i].channel = NULL;
}

static void
send_due_synced(struct startup *startup)
{
	for (unsigned i = 0; i < startup->count; i++) {
		if (startup->peers[i].synced ||
		    startup->peers[i].channel == NULL ||
		    uv_now(startup->loop) < startup->peers[i].synced_ms)
			continue;
		startup->peers[i].synced = true;
		fake_control_send_document(startup->peers[i].channel,
		    FAKE_DOCUMENT, STR_LITERAL("text"));
		fake_control_send_synced(startup->peers[i].channel);
	}
}

/*
 * Returns the largest number of owners of any part.
 */
static unsigned
count_owners(struct startup *startup)
{
	GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned max_owners = 0;

	for (unsigned i = 0; i < STARTING_ENTRIES; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, startup->flows[i]->services);
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
			max_owners = count > max_owners ? count : max_owners;
		}
	}
	g_hash_table_destroy(owners);
	return max_owners;
}

static void
simultaneous_start_has_one_owner_per_part(void **state ATTR_UNUSED)
{
	static struct startup startup;
	struct fake_control control = {
	    .message = relay_hello, .closed = drop_channel, .ctx = &startup};
	struct flow_fixture fixture;
	const char *seeds[1];
	unsigned pid = (unsigned)getpid();
	uint64_t probes;

	flow_fixture_open(&fixture, REPEAT_ALLOWED);
	startup.loop = &fixture.loop;
	startup.start_ms = uv_now(&fixture.loop) + 300;
	fake_control_open(&fixture.loop, &control);
	seeds[0] = control.address;
	for (unsigned i = 0; i < STARTING_ENTRIES; i++) {
		struct flow_settings settings = fixture.flow->settings;
		char at[ADDRESS_BYTES];

		/* A network that no other test uses at the same time. */
		snprintf(at, sizeof(at), "127.%u.%u.%u:32050",
		    64 + (pid >> 8) % 128, pid % 256, 1 + i);
		settings.datagram_address = str_dup(str_from(at));
		settings.processor_millis = i < LARGE_ENTRIES ? 250 : 100;
		settings.seeds = seeds;
		settings.seed_count = 1;
		assert_int_equal(flow_open(&fixture.loop, &settings,
				     &fixture.flow->dialect, &startup.flows[i]),
		    STATUS_OK);
		for (unsigned t = 0; t < START_TARGETS; t++) {
			char id[32];
			struct roster_target target = {
			    .id = id,
			    .service = (char *)"svc",
			    .address = fixture.target_address,
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
			    roster_announce(startup.flows[i]->roster, &target));
		}
	}
	probes = (uint64_t)counter_get(fixture.flow->probes);
	/*
	 * Wait for results rather than for a fixed time, since machines may be
	 * busy.
	 */
	while (uv_now(&fixture.loop) < startup.start_ms + SETTLE_MS ||
	    ((uint64_t)counter_get(fixture.flow->probes) - probes <
		    START_TARGETS &&
		uv_now(&fixture.loop) < startup.start_ms + HANG_TIMEOUT_MS)) {
		unsigned owners;

		(void)uv_run(&fixture.loop, UV_RUN_ONCE);
		send_due_synced(&startup);
		owners = count_owners(&startup);
		if (owners > startup.owners_max)
			startup.owners_max = owners;
	}
	/*
	 * If each entry decided from its own state alone, all 150 would own
	 * each part.
	 */
	assert_int_equal(startup.owners_max, 1);
	/* Only the owner probes, and each target at no more than its rate. */
	probes = (uint64_t)counter_get(fixture.flow->probes) - probes;
	assert_in_range(probes, START_TARGETS,
	    (double)(uv_now(&fixture.loop) + SPREAD_MS - startup.start_ms) /
		1000 * START_TARGETS *
		fixture.flow->settings.probes_per_second);
	channel_listener_close(control.listener);
	for (unsigned i = 0; i < STARTING_ENTRIES; i++) {
		mem_free((char *)startup.flows[i]->settings.datagram_address);
		flow_close(startup.flows[i]);
	}
	/* Ignore frames that are still in transit. */
	control.message = NULL;
	flow_fixture_close(&fixture, NULL);
	for (unsigned i = 0; i < STARTING_ENTRIES; i++) {
		fleet__hello__free_unpacked(startup.peers[i].hello, NULL);
		flow_free(startup.flows[i]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(idle_entry_scans_nothing_in_large_fleet),
	    cmocka_unit_test(non_candidate_entry_does_not_schedule),
	    cmocka_unit_test(
		entries_that_do_not_return_with_control_are_dropped),
	    cmocka_unit_test(entries_that_return_later_than_control_are_kept),
	    cmocka_unit_test(
		reports_of_an_instance_that_sends_no_lists_any_more_are_dropped),
	    cmocka_unit_test(expired_control_instances_free_their_slots),
	    cmocka_unit_test(simultaneous_start_has_one_owner_per_part),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
