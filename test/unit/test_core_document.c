/*
 * The document that an instance hands to entries at a start, before its log is
 * applied.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "support_core.h"

enum {
	VERSIONS = 30
};

static bool
is_cache_written(const void *ctx)
{
	const struct core_fixture *fixture = ctx;

	return !fixture->core->cache_dirty;
}

static bool
has_text(const void *ctx)
{
	return ((const struct core_subscriber *)ctx)->text_count > 0;
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
 * A cache that survived the loss of the log must not hide the documents of a
 * new group, whose indexes are lower.
 */
static void
log_without_the_cached_document_replaces_it(void **state ATTR_UNUSED)
{
	struct core_fixture fixture;
	struct core_subscriber subscriber;
	char command[256];

	core_fixture_init(&fixture, true);
	core_fixture_open(&fixture, NULL);
	accept_versions(&fixture, 1, VERSIONS);
	core_fixture_run_until(&fixture, is_cache_written, &fixture);
	core_fixture_stop(&fixture);
	snprintf(command, sizeof(command), "rm -r %s/log %s/replica-id",
	    fixture.folder, fixture.folder);
	assert_int_equal(system(command), 0);
	core_fixture_open(&fixture, NULL);
	accept_versions(&fixture, 1, 1);
	core_subscriber_open(&fixture, &subscriber, "a");
	core_fixture_run_until(&fixture, has_text, &subscriber);
	assert_int_equal(
	    subscriber.indexes[0], fixture.core->state.document_index);
	channel_close(subscriber.channel);
	core_fixture_close(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(log_without_the_cached_document_replaces_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
