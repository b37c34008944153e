/*
 * When a caller counts as one that does not read.  Guards against closing a
 * caller for memory that has only begun, or goes on, to take its answers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "support_flow.h"

enum {
	ANSWER_BYTES = 1 << 20, /* more than the socket takes */
	PEER_BYTES = 16 << 10,
	CHECKS = 8
};

struct bed {
	struct flow_fixture fixture;
	int peer; /* the caller's end */
};

static void
open_bed(struct bed *bed)
{
	struct caller *caller = &bed->fixture.caller;
	int pair[2];

	flow_fixture_open(&bed->fixture, REPEAT_NEVER);
	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
	bed->peer = pair[1];
	uv_tcp_init(&bed->fixture.loop, &caller->tcp);
	assert_int_equal(uv_tcp_open(&caller->tcp, pair[0]), 0);
	caller->tcp.data = caller;
	g_queue_init(&caller->exchanges);
}

static void
close_bed(struct bed *bed)
{
	bed->fixture.caller.closing = true;
	limit_release(&bed->fixture.caller);
	uv_close((uv_handle_t *)&bed->fixture.caller.tcp, NULL);
	close(bed->peer);
	flow_fixture_close(&bed->fixture, NULL);
}

static void
write_answer(struct bed *bed)
{
	static char bytes[ANSWER_BYTES];
	struct str_buf answer = {0};

	str_buf_append(&answer, str_of(bytes, sizeof(bytes)));
	caller_write_output(&bed->fixture.caller, &answer);
	str_buf_free(&answer);
}

/* Checks follow each write, not a clock. */
static void
caller_that_has_just_begun_is_not_still(void **state ATTR_UNUSED)
{
	struct bed bed = {0};

	open_bed(&bed);
	write_answer(&bed);
	for (int i = 0; i < CHECKS; i++)
		limit_check(&bed.fixture.caller);
	assert_true(bed.fixture.caller.use.ordinary);
	close_bed(&bed);
}

static void
caller_whose_answers_grow_faster_than_it_reads_is_not_still(
    void **state ATTR_UNUSED)
{
	struct bed bed = {0};
	struct caller *caller = &bed.fixture.caller;
	char bytes[PEER_BYTES];

	open_bed(&bed);
	write_answer(&bed);
	caller->use.moved_ms = 1;
	limit_check(caller);
	assert_int_equal(caller->use.moved_ms, 1);
	while (recv(bed.peer, bytes, sizeof(bytes), 0) > 0)
		;
	(void)uv_run(&bed.fixture.loop, UV_RUN_NOWAIT);
	write_answer(&bed);
	assert_true(caller->use.moved_ms > 1);
	close_bed(&bed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(caller_that_has_just_begun_is_not_still),
	    cmocka_unit_test(
		caller_whose_answers_grow_faster_than_it_reads_is_not_still),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
