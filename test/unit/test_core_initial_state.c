/*
 * All entries of a fleet reconnect at once, as after a power failure.  Each
 * must receive the document, the targets and the other entries, while frames
 * for all of them are packed a few times, not once per entry.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"
#include "core/core_internal.h"
#include "net/channel_internal.h"
#include "roster/candidate.h"

enum {
	ENTRIES = 120,
	TARGETS = 240,
	TEXT_BYTES = 200000,
	PORT_FIRST = 31000,
	PORT_LAST = 32000,
	TEST_TIMEOUT_MS = 60000, /* ends the test if it hangs */
	QUEUE_MAX_BYTES = 32 << 20, /* of a channel */
	ADDRESS_MAX = 64
};

struct testbed;

struct entry {
	struct testbed *testbed;
	struct channel *channel;
	unsigned number;
	unsigned targets;
	unsigned others;
	size_t text_bytes;
	bool synced;
};

struct testbed {
	uv_loop_t loop;
	uv_timer_t timeout;
	uv_timer_t watch;
	struct core *core;
	char folder[ADDRESS_MAX];
	char address[ADDRESS_MAX];
	bool timed_out;
	bool accepted;
	struct entry entries[ENTRIES];
	bool uneven_processors; /* wide entries also have more processor time */
	bool odd; /* the numbers of hellos are out of their bounds */
};

static void
on_timeout(uv_timer_t *timer)
{
	struct testbed *testbed = timer->data;

	testbed->timed_out = true;
	uv_stop(&testbed->loop);
}

static bool
is_wide(unsigned number)
{
	return number % 30 == 0;
}

/*
 * Sends an entry's hello.  A third of the entries are in the instance's own
 * failure domain; four of these have wide links.
 */
static void
send_hello(const struct entry *entry, bool busy)
{
	char name[ADDRESS_MAX], datagram[ADDRESS_MAX];
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Hello hello = FLEET__HELLO__INIT;

	snprintf(name, sizeof(name), "entry-%u", entry->number);
	snprintf(
	    datagram, sizeof(datagram), "127.0.7.9:%u", 100 + entry->number);
	hello.instance = name;
	hello.ready = true;
	hello.busy = busy;
	if (entry->testbed->uneven_processors)
		hello.processor_millis = is_wide(entry->number) ? 250 : 100;
	hello.link_kbps = is_wide(entry->number) ? 100000 : 2400;
	if (entry->testbed->odd)
		hello.processor_millis = hello.link_kbps = UINT32_MAX;
	hello.failure_domain = (char *)(entry->number % 3 == 0 ? "a" : "b");
	hello.datagram_address = datagram;
	hello.caller_address = datagram;
	hello.wants_all = true;
	frame.body_case = FLEET__FRAME__BODY_HELLO;
	frame.hello = &hello;
	channel_send(entry->channel, &frame);
}

static void
on_opened(void *ctx, struct channel *channel ATTR_UNUSED)
{
	send_hello(ctx, false);
}

static void
on_message(
    void *ctx, struct channel *channel ATTR_UNUSED, const Fleet__Frame *frame)
{
	struct entry *entry = ctx;

	switch (frame->body_case) {
	case FLEET__FRAME__BODY_DOCUMENT:
		entry->text_bytes = frame->document->text.len;
		break;
	case FLEET__FRAME__BODY_ANNOUNCEMENT:
		entry->targets++;
		break;
	case FLEET__FRAME__BODY_ENTRY:
		entry->others++;
		break;
	case FLEET__FRAME__BODY_SYNCED:
		entry->synced = true;
		break;
	default:
		break;
	}
}

static void
on_edited(void *ctx, enum core_outcome outcome)
{
	struct testbed *testbed = ctx;

	testbed->accepted = outcome == CORE_ACCEPTED;
	uv_stop(&testbed->loop);
}

/*
 * Opens an instance as a group of one, with its log in a new folder.
 */
static void
open_testbed(struct testbed *testbed)
{
	enum status status = STATUS_IO;

	memset(testbed, 0, sizeof(*testbed));
	uv_loop_init(&testbed->loop);
	uv_timer_init(&testbed->loop, &testbed->timeout);
	testbed->timeout.data = testbed;
	uv_timer_start(&testbed->timeout, on_timeout, TEST_TIMEOUT_MS, 0);
	snprintf(
	    testbed->folder, sizeof(testbed->folder), "/tmp/gypsummill-XXXXXX");
	assert_non_null(mkdtemp(testbed->folder));
	for (unsigned port = PORT_FIRST;
	     status != STATUS_OK && port < PORT_LAST; port++) {
		static const char *seeds[1];
		struct core_settings settings = {
		    .instance = "core",
		    .failure_domain = "a",
		    .link_address = testbed->address,
		    .data = testbed->folder,
		    .seeds = seeds,
		    .seed_count = 1,
		    .bootstrap = true,
		    .target_kept_ms = TEST_TIMEOUT_MS,
		};

		snprintf(testbed->address, sizeof(testbed->address),
		    "127.0.7.9:%u", port);
		seeds[0] = testbed->address;
		status = core_open(&testbed->loop, &settings, &testbed->core);
	}
	assert_int_equal(status, STATUS_OK);
}

/*
 * Runs the loop for a number of iterations.
 */
static void
run_for(struct testbed *testbed, unsigned turns)
{
	for (unsigned i = 0; i < turns && !testbed->timed_out; i++)
		uv_run(&testbed->loop, UV_RUN_ONCE);
}

static void
accept_document(struct testbed *testbed)
{
	static char text[TEXT_BYTES];

	for (size_t i = 0; i < sizeof(text); i++)
		text[i] = (char)('a' + i / 97 % 26);
	while (!testbed->accepted && !testbed->timed_out) {
		/* Wait until the group of one has elected its leader. */
		run_for(testbed, 20);
		core_edit(testbed->core, 0, 1, str_of(text, sizeof(text)),
		    on_edited, testbed);
		uv_run(&testbed->loop, UV_RUN_DEFAULT);
	}
}

static void
announce_targets(const struct testbed *testbed)
{
	for (unsigned i = 0; i < TARGETS; i++) {
		char id[ADDRESS_MAX], address[ADDRESS_MAX];
		const struct roster_target target = {
		    .id = id,
		    .service = (char *)"svc",
		    .address = address,
		    .failure_domain = (char *)"a",
		    .started_ms = 1,
		    .sequence = 1,
		    .slots = 4,
		    .last_seen_us = clock_boot_us(),
		};

		snprintf(id, sizeof(id), "target-%u", i);
		snprintf(address, sizeof(address), "10.0.0.1:%u", 1000 + i);
		core_announce(testbed->core, &target);
	}
}

static bool
all_synced(const struct testbed *testbed)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		if (!testbed->entries[i].synced)
			return false;
	}
	return true;
}

/*
 * Looks up 100 times.  Returns the highest number of addresses in an answer;
 * stores the lowest number of wide entries in one and the number of
 * different entries in all.
 */
static unsigned
repeat_lookups(
    const struct testbed *testbed, unsigned *wide_least, unsigned *different)
{
	bool named[ENTRIES] = {false};
	unsigned most = 0;

	*wide_least = ENTRIES;
	*different = 0;
	for (int i = 0; i < 100; i++) {
		const char *addresses[64];
		unsigned ready;
		unsigned count = core_lookup(
		    testbed->core, str_from("a"), addresses, 64, &ready);
		unsigned wide = 0;

		most = count > most ? count : most;
		assert_int_equal(ready, ENTRIES / 3);
		for (unsigned k = 0; k < count; k++) {
			unsigned number =
			    (unsigned)atoi(strchr(addresses[k], ':') + 1) - 100;

			assert_int_equal(number % 3, 0);
			wide += is_wide(number) ? 1 : 0;
			*different += named[number] ? 0 : 1;
			named[number] = true;
		}
		*wide_least = wide < *wide_least ? wide : *wide_least;
	}
	return most;
}

/*
 * Returns whether the instance has heard that an entry is busy.
 */
static bool
is_known_as_busy(const struct testbed *testbed, unsigned number)
{
	char name[ADDRESS_MAX];

	snprintf(name, sizeof(name), "entry-%u", number);
	for (guint i = 0; i < testbed->core->peers->len; i++) {
		const struct core_peer *peer = testbed->core->peers->pdata[i];

		if (peer->hello != NULL &&
		    strcmp(peer->hello->instance, name) == 0)
			return peer->hello->busy;
	}
	return false;
}

/*
 * Each answer names all entries with wide links and as many narrow ones;
 * once a wide one has no processor time left, it names all entries.
 */
static void
check_lookups(struct testbed *testbed)
{
	unsigned wide, different;

	assert_int_equal(repeat_lookups(testbed, &wide, &different), 8);
	assert_int_equal(wide, 4);
	assert_int_equal(different, ENTRIES / 3);
	assert_false(is_known_as_busy(testbed, 30));
	send_hello(&testbed->entries[30], true);
	while (!is_known_as_busy(testbed, 30) && !testbed->timed_out)
		uv_run(&testbed->loop, UV_RUN_ONCE);
	assert_false(testbed->timed_out);
	assert_int_equal(
	    repeat_lookups(testbed, &wide, &different), ENTRIES / 3);
}

/*
 * Returns whether each entry has learnt of all others, as they do if all have
 * the same processor time.
 */
static bool
all_know_each_other(const struct testbed *testbed)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		if (testbed->entries[i].others < ENTRIES)
			return false;
	}
	return true;
}

/*
 * Each entry learns of all others; where entries differ in processor time,
 * only of those that may schedule.  The first ones to connect count as a
 * small fleet.
 */
static void
check_known_entries(const struct testbed *testbed)
{
	unsigned total = 0;

	for (unsigned i = 0; i < ENTRIES; i++) {
		if (!testbed->uneven_processors)
			assert_true(testbed->entries[i].others >= ENTRIES);
		total += testbed->entries[i].others;
	}
	if (testbed->uneven_processors)
		assert_true(
		    total < ENTRIES * (CANDIDATE_FLEET_MIN + ENTRIES / 4));
}

static void
reconnect_all_entries(bool uneven_processors)
{
	static struct testbed testbed;
	char command[2 * ADDRESS_MAX];
	uint64_t before;

	open_testbed(&testbed);
	testbed.uneven_processors = uneven_processors;
	accept_document(&testbed);
	announce_targets(&testbed);
	run_for(&testbed, 50);
	before = channel_deflate_count();
	for (unsigned i = 0; i < ENTRIES; i++) {
		struct entry *entry = &testbed.entries[i];
		const struct channel_callbacks callbacks = {
		    .ctx = entry, .opened = on_opened, .message = on_message};

		entry->testbed = &testbed;
		entry->number = i;
		entry->channel =
		    channel_dial(&testbed.loop, testbed.address, &callbacks);
	}
	while (!all_synced(&testbed) && !testbed.timed_out)
		uv_run(&testbed.loop, UV_RUN_ONCE);
	while (!uneven_processors && !all_know_each_other(&testbed) &&
	    !testbed.timed_out)
		uv_run(&testbed.loop, UV_RUN_ONCE);
	run_for(&testbed, 50);
	assert_false(testbed.timed_out);
	for (unsigned i = 0; i < ENTRIES; i++) {
		const struct entry *entry = &testbed.entries[i];

		assert_true(entry->targets >= TARGETS);
		/* The text is sent to other failure domains only on request. */
		assert_int_equal(
		    entry->text_bytes, i % 3 == 0 ? TEXT_BYTES : 0);
	}
	assert_true(channel_deflate_count() - before <= ENTRIES / 4);
	check_known_entries(&testbed);
	check_lookups(&testbed);
	for (unsigned i = 0; i < ENTRIES; i++)
		channel_close(testbed.entries[i].channel);
	core_close(testbed.core);
	uv_close((uv_handle_t *)&testbed.timeout, NULL);
	uv_run(&testbed.loop, UV_RUN_DEFAULT);
	core_free(testbed.core);
	assert_int_equal(uv_loop_close(&testbed.loop), 0);
	snprintf(command, sizeof(command), "rm -rf %s", testbed.folder);
	assert_int_equal(system(command), 0);
}

static void
all_entries_reconnect_at_once(void **state ATTR_UNUSED)
{
	reconnect_all_entries(false);
}

static void
entries_learn_mostly_of_scheduling_candidates(void **state ATTR_UNUSED)
{
	reconnect_all_entries(true);
}

/*
 * An entry with more processor time than any machine has would be the only one
 * that may schedule, and would have the only wide link.
 */
static void
hello_with_odd_numbers_is_refused(void **state ATTR_UNUSED)
{
	static struct testbed testbed;
	struct entry *entry = &testbed.entries[0];
	const struct channel_callbacks callbacks = {
	    .ctx = entry, .opened = on_opened, .message = on_message};
	char command[2 * ADDRESS_MAX];

	open_testbed(&testbed);
	testbed.odd = true;
	entry->testbed = &testbed;
	entry->channel =
	    channel_dial(&testbed.loop, testbed.address, &callbacks);
	while (counter_get(testbed.core->messages_refused) == 0 &&
	    !testbed.timed_out)
		uv_run(&testbed.loop, UV_RUN_ONCE);
	assert_false(testbed.timed_out);
	assert_int_equal(testbed.core->most_processor_millis, 0);
	assert_int_equal(testbed.core->entry_count, 0);
	/* A later one in range is taken on the same connection. */
	testbed.odd = false;
	send_hello(entry, false);
	while (testbed.core->entry_count == 0 && !testbed.timed_out)
		uv_run(&testbed.loop, UV_RUN_ONCE);
	assert_int_equal(testbed.core->entry_count, 1);
	channel_close(entry->channel);
	core_close(testbed.core);
	uv_close((uv_handle_t *)&testbed.timeout, NULL);
	uv_run(&testbed.loop, UV_RUN_DEFAULT);
	core_free(testbed.core);
	assert_int_equal(uv_loop_close(&testbed.loop), 0);
	snprintf(command, sizeof(command), "rm -r %s", testbed.folder);
	assert_int_equal(system(command), 0);
}

/*
 * Sends frames to a peer that does not read until no more than a few bytes fit
 * into its output queue.
 */
static void
fill_queue(struct channel *channel)
{
	static uint8_t text[1 << 20];
	struct random random;

	random_seed(&random, 1);
	for (size_t i = 0; i < sizeof(text); i++)
		text[i] = (uint8_t)random_next(&random);
	for (size_t len = sizeof(text);; len /= 4) {
		Fleet__Frame frame = FLEET__FRAME__INIT;
		Fleet__Document document = FLEET__DOCUMENT__INIT;
		struct packed_frame *packed;

		document.text.data = text;
		document.text.len = len;
		frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
		frame.document = &document;
		packed = channel_pack(&frame);
		while (uv_stream_get_write_queue_size(
			   (uv_stream_t *)channel->tcp) +
			packed->len <=
		    QUEUE_MAX_BYTES)
			channel_send_packed(channel, packed);
		packed_frame_put(packed);
		if (len == 0)
			break;
	}
	assert_true(channel_is_open(channel));
}

/*
 * Guards against the use of a peer after a send has closed its channel, since
 * the peer reads too slowly, and against others that are left out then.
 */
static void
full_queue_ends_its_peer_alone(void **state ATTR_UNUSED)
{
	enum {
		PEERS = 3
	};
	/* What is due: the initial state, an update, or a departure. */
	enum {
		STATE,
		UPDATE,
		DEPARTURE,
		CASES
	};

	for (unsigned i = 0; i < CASES * PEERS; i++) {
		static struct testbed testbed;
		const struct roster_departure departure = {
		    .id = (char *)"target-1", .started_ms = 1};
		unsigned slow = i % PEERS;
		struct core_peer *peers[PEERS];
		uint64_t queued[PEERS];
		char command[2 * ADDRESS_MAX];

		open_testbed(&testbed);
		for (unsigned k = 0; k < PEERS; k++) {
			struct entry *entry = &testbed.entries[k];
			const struct channel_callbacks callbacks = {
			    .ctx = entry,
			    .opened = on_opened,
			    .message = on_message};

			entry->testbed = &testbed;
			entry->number = k;
			entry->channel = channel_dial(
			    &testbed.loop, testbed.address, &callbacks);
			while (!entry->synced && !testbed.timed_out)
				uv_run(&testbed.loop, UV_RUN_ONCE);
		}
		assert_int_equal(testbed.core->peers->len, PEERS);
		for (unsigned k = 0; k < PEERS; k++)
			peers[k] = testbed.core->peers->pdata[k];
		core_push_tick(testbed.core);
		fill_queue(peers[slow]->channel);
		if (i / PEERS == UPDATE)
			announce_targets(&testbed);
		if (i / PEERS == DEPARTURE)
			core_queue_departure(testbed.core, &departure);
		for (unsigned k = 0; k < PEERS; k++) {
			peers[k]->initial_state_due = i / PEERS == STATE;
			queued[k] = channel_queued(peers[k]->channel);
		}
		if (i / PEERS == DEPARTURE)
			core_push_applied(testbed.core);
		else
			core_push_tick(testbed.core);
		assert_int_equal(testbed.core->peers->len, PEERS - 1);
		for (unsigned k = 0; k < PEERS; k++) {
			bool there = g_ptr_array_find(
			    testbed.core->peers, peers[k], NULL);

			assert_int_equal(there, k != slow);
			if (there)
				assert_true(channel_queued(peers[k]->channel) >
				    queued[k]);
		}
		assert_false(testbed.timed_out);
		for (unsigned k = 0; k < PEERS; k++)
			channel_close(testbed.entries[k].channel);
		core_close(testbed.core);
		uv_close((uv_handle_t *)&testbed.timeout, NULL);
		uv_run(&testbed.loop, UV_RUN_DEFAULT);
		core_free(testbed.core);
		assert_int_equal(uv_loop_close(&testbed.loop), 0);
		snprintf(command, sizeof(command), "rm -r %s", testbed.folder);
		assert_int_equal(system(command), 0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(all_entries_reconnect_at_once),
	    cmocka_unit_test(entries_learn_mostly_of_scheduling_candidates),
	    cmocka_unit_test(hello_with_odd_numbers_is_refused),
	    cmocka_unit_test(full_queue_ends_its_peer_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
