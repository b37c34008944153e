/*
 * Guards against documents that control sends although a newer one has
 * overtaken them: slow entries were found parsing 18 of them one by one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "support_core.h"

enum {
	VERSIONS = 30,
	CONFIRM_TIMEOUT_MS = 500 /* of core_push.c */
};

struct testbed {
	struct core_fixture fixture;
	struct core_subscriber near; /* in the instance's failure domain */
	struct core_subscriber far;
	uint64_t opened_ms;
};

static bool
are_synced(const void *ctx)
{
	const struct testbed *testbed = ctx;

	return testbed->near.synced && testbed->far.synced;
}

static void
accept_versions(struct core_fixture *fixture, unsigned from, unsigned to)
{
	char text[32];

	for (unsigned version = from; version <= to; version++) {
		snprintf(text, sizeof(text), "text %u", version);
		core_fixture_edit(fixture, version - 1, version, text);
	}
}

/*
 * Opens a group of one with its first document, and two entries.
 */
static void
open_testbed(struct testbed *testbed)
{
	*testbed = (struct testbed){0};
	core_fixture_init(&testbed->fixture, true);
	core_fixture_open(&testbed->fixture, NULL);
	accept_versions(&testbed->fixture, 1, 1);
	core_subscriber_open(&testbed->fixture, &testbed->near, "a");
	core_subscriber_open(&testbed->fixture, &testbed->far, "b");
	testbed->opened_ms = uv_now(&testbed->fixture.loop);
	core_fixture_run_until(&testbed->fixture, are_synced, testbed);
}

static void
close_testbed(struct testbed *testbed)
{
	channel_close(testbed->near.channel);
	channel_close(testbed->far.channel);
	core_fixture_close(&testbed->fixture);
}

/*
 * Returns how many texts may have been sent to an entry that confirms none.
 */
static unsigned
most_unconfirmed(const struct testbed *testbed)
{
	uint64_t age_ms = uv_now(&testbed->fixture.loop) - testbed->opened_ms;

	return 1 + (unsigned)(age_ms / CONFIRM_TIMEOUT_MS);
}

static void
send_frame(const struct core_subscriber *subscriber, Fleet__Frame *frame)
{
	channel_send(subscriber->channel, frame);
}

static void
confirm(const struct core_subscriber *subscriber, uint64_t index)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__DocumentReceived received = FLEET__DOCUMENT_RECEIVED__INIT;

	received.index = index;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT_RECEIVED;
	frame.document_received = &received;
	send_frame(subscriber, &frame);
}

static void
fetch(const struct core_subscriber *subscriber)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Fetch message = FLEET__FETCH__INIT;

	frame.body_case = FLEET__FRAME__BODY_FETCH;
	frame.fetch = &message;
	send_frame(subscriber, &frame);
}

static bool
has_newest(const void *ctx)
{
	const struct testbed *testbed = ctx;
	const struct core_subscriber *near = &testbed->near;

	return near->indexes[near->document_count - 1] ==
	    testbed->fixture.core->state.document_index;
}

static void
overtaken_texts_are_not_sent(void **state ATTR_UNUSED)
{
	struct testbed testbed;
	unsigned count;

	open_testbed(&testbed);
	accept_versions(&testbed.fixture, 2, VERSIONS);
	core_fixture_run(&testbed.fixture, 50);
	count = testbed.near.text_count;
	assert_true(count <= most_unconfirmed(&testbed));
	/* One that was sent before is no confirmation of the last one. */
	confirm(&testbed.near, testbed.near.indexes[count - 1] - 1);
	core_fixture_run(&testbed.fixture, 50);
	assert_true(testbed.near.text_count <= most_unconfirmed(&testbed));
	confirm(&testbed.near, testbed.near.indexes[count - 1]);
	core_fixture_run_until(&testbed.fixture, has_newest, &testbed);
	close_testbed(&testbed);
}

/*
 * A program that confirms nothing gets the newest text after the time-out.
 */
static void
peer_without_confirmations_gets_the_newest_text(void **state ATTR_UNUSED)
{
	struct testbed testbed;

	open_testbed(&testbed);
	accept_versions(&testbed.fixture, 2, VERSIONS);
	core_fixture_run_until(&testbed.fixture, has_newest, &testbed);
	assert_true(testbed.near.text_count <= most_unconfirmed(&testbed));
	close_testbed(&testbed);
}

static void
text_on_its_way_is_not_sent_again(void **state ATTR_UNUSED)
{
	struct testbed testbed;

	open_testbed(&testbed);
	for (unsigned i = 0; i < 10; i++)
		fetch(&testbed.far);
	core_fixture_run(&testbed.fixture, 50);
	assert_true(testbed.far.text_count > 0);
	assert_true(testbed.far.text_count <= most_unconfirmed(&testbed));
	close_testbed(&testbed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(overtaken_texts_are_not_sent),
	    cmocka_unit_test(peer_without_confirmations_gets_the_newest_text),
	    cmocka_unit_test(text_on_its_way_is_not_sent_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
