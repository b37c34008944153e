/*
 * Entries that come and go, as control tells other entries of them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support_core.h"

struct entries {
	struct core_fixture fixture;
	struct core_subscriber watcher, old, new;
};

static bool
are_connected(const void *ctx)
{
	const struct entries *e = ctx;

	return e->watcher.synced && e->old.synced && e->new.synced;
}

static bool
is_gone(const void *ctx)
{
	const struct entries *e = ctx;

	return e->watcher.entries_gone == 1;
}

/*
 * The link of an entry's earlier start, whose machine has lost power, may close
 * after the next start has connected from the same address: that one isn't
 * gone.
 */
static void
old_link_that_closes_ends_no_new_start(void **state ATTR_UNUSED)
{
	static struct entries e;

	core_fixture_init(&e.fixture, false);
	core_fixture_open(&e.fixture, NULL);
	core_subscriber_open(&e.fixture, &e.watcher, "a");
	e.watcher.datagram_address = "127.0.7.9:98";
	core_subscriber_open(&e.fixture, &e.old, "a");
	core_subscriber_open(&e.fixture, &e.new, "a");
	core_fixture_run_until(&e.fixture, are_connected, &e);
	channel_close(e.old.channel);
	core_fixture_run(&e.fixture, 200);
	assert_int_equal(e.watcher.entries_gone, 0);
	channel_close(e.new.channel);
	core_fixture_run_until(&e.fixture, is_gone, &e);
	channel_close(e.watcher.channel);
	core_fixture_close(&e.fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(old_link_that_closes_ends_no_new_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
