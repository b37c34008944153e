/*
 * Tests of logging to standard output: a reader that stops reading must cause
 * dropped lines but never block the process.
 */
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/log_limiter.h"
#include "base/logger.h"

enum {
	LINES = 5000, /* several times the capacity of a pipe */
	TEST_TIMEOUT_S = 30 /* time-out of a test that blocks */
};

static void
logger_drops_lines_when_stdout_blocks(void **state ATTR_UNUSED)
{
	int pipe_fds[2];
	int saved_stdout = dup(STDOUT_FILENO);
	char output[4096] = "";
	ssize_t n;

	assert_int_equal(pipe(pipe_fds), 0);
	assert_int_equal(dup2(pipe_fds[1], STDOUT_FILENO), STDOUT_FILENO);
	(void)alarm(TEST_TIMEOUT_S);
	assert_int_equal(logger_open("test", "info", "-"), STATUS_OK);
	for (int i = 0; i < LINES; i++)
		log_info("filler", "number=%d text=%0100d", i, i);
	/* Once the pipe has room, the log reports the dropped lines. */
	assert_int_equal(fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK), 0);
	while (read(pipe_fds[0], output, sizeof(output)) > 0)
		continue;
	log_info("after", "number=%d", LINES);
	(void)close(pipe_fds[1]);
	assert_int_equal(dup2(saved_stdout, STDOUT_FILENO), STDOUT_FILENO);
	(void)alarm(0);
	n = read(pipe_fds[0], output, sizeof(output) - 1);
	assert_true(n > 0);
	output[n] = '\0';
	assert_non_null(strstr(output, "event=lines_lost lines="));
	assert_non_null(strstr(output, "event=after number=5000"));
	logger_close();
	(void)close(pipe_fds[0]);
	(void)close(saved_stdout);
}

static void
log_limiter_limits_lines_per_second(void **state ATTR_UNUSED)
{
	struct log_limiter limiter = {.instance = "test"};
	unsigned routine = 0, failures = 0;

	for (int i = 0; i < 1000; i++)
		routine += log_limiter_allow(&limiter, 5000, true) ? 1 : 0;
	for (int i = 0; i < 1000; i++)
		failures += log_limiter_allow(&limiter, 5999, false) ? 1 : 0;
	/* Routine lines get at most a quarter of what failures get. */
	assert_true(routine > 0 && routine * 4 <= failures);
	assert_int_equal(limiter.suppressed, 2000 - routine - failures);
	assert_true(log_limiter_allow(&limiter, 6000, true));
	assert_int_equal(limiter.suppressed, 0);
	assert_int_equal(limiter.suppressed_total, 2000 - routine - failures);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(logger_drops_lines_when_stdout_blocks),
	    cmocka_unit_test(log_limiter_limits_lines_per_second),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
