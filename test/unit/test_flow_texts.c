/*
 * Guards against an entry that puts documents in force, or fetches them,
 * although a newer one has overtaken them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support_flow.h"

enum {
	TEXTS = 10,
	SETTLED_MS = 300, /* longer than a text waits for newer ones */
	NEWEST = FAKE_DOCUMENT + 4,
	OLDER_TEXTS = 60,
	OLDER_GAP_MS = 50
};

/* The entry, as a control instance sees it. */
struct peer {
	struct channel *channel;
	unsigned confirmed_count;
	uint64_t confirmed; /* the last index */
};

struct testbed {
	struct flow_fixture fixture;
	struct fake_control controls[2];
	struct peer peers[2];
	const char *seeds[2];
	int64_t documents; /* the counter at the start */
};

static void
on_message(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct peer *peer = ctx;

	if (frame->body_case == FLEET__FRAME__BODY_HELLO)
		peer->channel = channel;
	if (frame->body_case != FLEET__FRAME__BODY_DOCUMENT_RECEIVED)
		return;
	peer->confirmed_count++;
	peer->confirmed = frame->document_received->index;
}

/*
 * Opens an entry that is connected to a number of control instances.
 */
static void
open_testbed(struct testbed *testbed, unsigned controls)
{
	struct flow *flow;

	flow_fixture_open(&testbed->fixture, REPEAT_ALLOWED);
	flow = testbed->fixture.flow;
	testbed->documents = counter_get(flow->documents);
	for (unsigned i = 0; i < controls; i++) {
		testbed->controls[i].message = on_message;
		testbed->controls[i].ctx = &testbed->peers[i];
		fake_control_open(
		    &testbed->fixture.loop, &testbed->controls[i]);
		testbed->seeds[i] = testbed->controls[i].address;
	}
	flow->settings.seeds = testbed->seeds;
	flow->settings.seed_count = controls;
	while (testbed->peers[controls - 1].channel == NULL ||
	    testbed->peers[0].channel == NULL)
		(void)uv_run(&testbed->fixture.loop, UV_RUN_ONCE);
}

static void
close_testbed(struct testbed *testbed)
{
	testbed->fixture.flow->settings.seed_count = 0;
	for (unsigned i = 0; i < 2; i++)
		channel_listener_close(testbed->controls[i].listener);
	flow_fixture_close(
	    &testbed->fixture, flow_fixture_exchange(&testbed->fixture));
}

static int64_t
put_in_force(const struct testbed *testbed)
{
	return counter_get(testbed->fixture.flow->documents) -
	    testbed->documents;
}

static void
only_the_newest_text_of_a_turn_is_parsed(void **state ATTR_UNUSED)
{
	struct testbed testbed = {0};
	const struct flow *flow;

	open_testbed(&testbed, 1);
	flow = testbed.fixture.flow;
	for (unsigned i = 1; i <= TEXTS; i++)
		fake_control_send_document(
		    testbed.peers[0].channel, 10 + i, STR_LITERAL("text"));
	flow_fixture_run(&testbed.fixture, SETTLED_MS);
	assert_int_equal(flow->document_index, 10 + TEXTS);
	assert_int_equal(put_in_force(&testbed), 1);
	/* Control sends the next text only after a confirmation. */
	assert_int_equal(testbed.peers[0].confirmed_count, TEXTS);
	assert_int_equal(testbed.peers[0].confirmed, 10 + TEXTS);
	close_testbed(&testbed);
}

/*
 * The log line named an older document as the newest one than that in force.
 */
static void
document_in_force_is_not_newer_than_the_newest(void **state ATTR_UNUSED)
{
	struct testbed testbed = {0};
	const struct flow *flow;

	open_testbed(&testbed, 1);
	flow = testbed.fixture.flow;
	fake_control_send_document(
	    testbed.peers[0].channel, 11, STR_LITERAL("text"));
	flow_fixture_run(&testbed.fixture, SETTLED_MS);
	assert_int_equal(flow->document_index, 11);
	assert_int_equal(flow->named_index, 11);
	close_testbed(&testbed);
}

/*
 * The first control instance announces a newer document than the second one.
 */
static void
only_the_newest_document_is_fetched(void **state ATTR_UNUSED)
{
	struct testbed testbed = {
	    .controls = {{.serves_document = true, .newest = NEWEST},
		{.serves_document = true}}};
	const struct flow *flow;

	open_testbed(&testbed, 2);
	flow = testbed.fixture.flow;
	/* The first document would be fetched at once. */
	fake_control_send_document(
	    testbed.peers[0].channel, 1, STR_LITERAL("text"));
	while (flow->document_index == 0)
		(void)uv_run(&testbed.fixture.loop, UV_RUN_ONCE);
	fake_control_send_document(
	    testbed.peers[1].channel, FAKE_DOCUMENT, str_of("", 0));
	fake_control_send_document(
	    testbed.peers[0].channel, NEWEST, str_of("", 0));
	flow_fixture_run(&testbed.fixture, 2 * SETTLED_MS);
	assert_int_equal(flow->document_index, NEWEST);
	assert_int_equal(put_in_force(&testbed), 2);
	assert_int_equal(testbed.controls[0].fetch_count, 1);
	assert_int_equal(testbed.controls[1].fetch_count, 0);
	close_testbed(&testbed);
}

/*
 * Guards against a nearby control instance that lags behind and whose texts put
 * off the fetch of the newest one.
 */
static void
newest_is_fetched_while_older_texts_arrive(void **state ATTR_UNUSED)
{
	struct testbed testbed = {
	    .controls = {{.serves_document = true, .newest = 10000}}};
	const struct flow *flow;
	uint64_t index = 0;

	open_testbed(&testbed, 2);
	flow = testbed.fixture.flow;
	fake_control_send_document(
	    testbed.peers[1].channel, ++index, STR_LITERAL("text"));
	while (flow->document_index == 0)
		(void)uv_run(&testbed.fixture.loop, UV_RUN_ONCE);
	fake_control_send_document(
	    testbed.peers[0].channel, 10000, str_of("", 0));
	while (index < OLDER_TEXTS && flow->document_index < 10000) {
		fake_control_send_document(
		    testbed.peers[1].channel, ++index, STR_LITERAL("text"));
		flow_fixture_run(&testbed.fixture, OLDER_GAP_MS);
	}
	assert_int_equal(flow->document_index, 10000);
	close_testbed(&testbed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_the_newest_text_of_a_turn_is_parsed),
	    cmocka_unit_test(document_in_force_is_not_newer_than_the_newest),
	    cmocka_unit_test(only_the_newest_document_is_fetched),
	    cmocka_unit_test(newest_is_fetched_while_older_texts_arrive),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
