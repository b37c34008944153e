/*
 * Tests of the integrity check of a batch before an entry installs it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "document/policy.h"
#include "link/batch.h"

static char text[] = "section: fleet\n";

struct fixture {
	uint8_t digest[POLICY_DIGEST_BYTES];
	Wire__Section section;
	Wire__Change changes[2];
	Wire__Change *list[2];
	Wire__Changes batch;
};

static void
fixture_init(struct fixture *f)
{
	policy_digest(str_from(text), f->digest);
	wire__section__init(&f->section);
	f->section.text.data = (uint8_t *)text;
	f->section.text.len = sizeof(text) - 1;
	f->section.digest.data = f->digest;
	f->section.digest.len = sizeof(f->digest);
	for (int i = 0; i < 2; i++) {
		wire__change__init(&f->changes[i]);
		f->list[i] = &f->changes[i];
	}
	f->changes[0].index = 4;
	f->changes[0].body_case = WIRE__CHANGE__BODY_SECTION;
	f->changes[0].section = &f->section;
	f->changes[1].index = 7;
	wire__changes__init(&f->batch);
	f->batch.to_index = 7;
	f->batch.n_changes = 2;
	f->batch.changes = f->list;
}

static void
intact_batch_is_accepted(void **state ATTR_UNUSED)
{
	struct fixture f;

	fixture_init(&f);
	assert_true(batch_is_intact(&f.batch));
	f.section.removed = true;
	f.section.digest.len = 0;
	assert_true(batch_is_intact(&f.batch));
}

static void
flipped_bit_is_detected(void **state ATTR_UNUSED)
{
	struct fixture f;

	fixture_init(&f);
	for (size_t bit = 0; bit < 8 * f.section.text.len; bit++) {
		text[bit / 8] ^= (char)(1 << bit % 8);
		assert_false(batch_is_intact(&f.batch));
		text[bit / 8] ^= (char)(1 << bit % 8);
	}
	f.section.digest.len--;
	assert_false(batch_is_intact(&f.batch));
}

static void
indexes_ascend_to_the_last(void **state ATTR_UNUSED)
{
	struct fixture f;

	fixture_init(&f);
	f.changes[1].index = 3;
	assert_false(batch_is_intact(&f.batch));
	f.changes[1].index = 8;
	assert_false(batch_is_intact(&f.batch));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(intact_batch_is_accepted),
	    cmocka_unit_test(flipped_bit_is_detected),
	    cmocka_unit_test(indexes_ascend_to_the_last),
	};

	return cmocka_run_group_tests_name("link_batch", tests, NULL, NULL);
}
