/*
 * Fuzz target of the section parser: any input either is a section that parses
 * the same again, or gives an error with a message.
 */
#include "mutate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "document/document_split.h"
#include "document/policy_parse.h"

enum {
	SEED_MAX_BYTES = 32768
};

static const char small_seed[] =
    "section: shop\nteam: sales\nservice:\n  hosts: [a.example]\n"
    "  routes:\n    - {name: all, tenants: [\"*\"], deadline: 800ms}\n"
    "  limits:\n    - {tenant: a*, calls_per_second: 3, slots: 5%}\n"
    "  objectives:\n    - {name: o, success: 99.5%, window: 30d}\n"
    "  refusals:\n    rate-limited: wait\n  cut_off: serve\n";

static void
check_section(struct str text)
{
	struct policy_section *section;
	struct policy_section *again;
	struct str_buf messages = {0};
	struct policy *policy;

	if (policy_section_check(text, 1, &section, &messages) != STATUS_OK) {
		INVARIANT(messages.len > 0, "an error has a message");
		str_buf_free(&messages);
		return;
	}
	INVARIANT(str_equal(section->text, text), "the text is kept");
	policy = policy_new(&section, 1);
	INVARIANT(policy_find_section(policy, section->name) == section,
	    "a section is found by its name");
	policy_put(policy);
	INVARIANT(policy_section_parse(text, 1, &again) == STATUS_OK,
	    "a section reads the same again");
	INVARIANT(str_equal(again->name, section->name),
	    "a section has the same name again");
	policy_section_put(again);
	policy_section_put(section);
	str_buf_free(&messages);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct str rest = str_of((const char *)data, len);
	struct document_split_part part;
	uint32_t line = 1;

	check_section(rest);
	while (document_split_next(&rest, &line, &part))
		check_section(part.text);
	return 0;
}

static void
read_seed(
    const char *path, uint8_t bytes[SEED_MAX_BYTES], struct fuzz_seed *seed)
{
	FILE *file = fopen(path, "r");

	*seed = (struct fuzz_seed){.data = bytes};
	if (file == NULL)
		return;
	seed->len = fread(bytes, 1, SEED_MAX_BYTES, file);
	fclose(file);
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static uint8_t bytes[2][SEED_MAX_BYTES];

	if (max < 3)
		return 0;
	seeds[0] = (struct fuzz_seed){
	    .data = (const uint8_t *)small_seed,
	    .len = strlen(small_seed),
	};
	read_seed("examples/caroni.yaml", bytes[0], &seeds[1]);
	read_seed("examples/vejradis.yaml", bytes[1], &seeds[2]);
	return 3;
}
