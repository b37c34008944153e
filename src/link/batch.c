#include "link/batch.h"

#include <string.h>

#include "document/policy.h"

/*
 * Compares a section's text with its SHA-256; a removed section has no text.
 */
static bool
section_is_intact(const Wire__Section *section)
{
	uint8_t digest[POLICY_DIGEST_BYTES];

	if (section->removed)
		return true;
	if (section->digest.len != sizeof(digest))
		return false;
	policy_digest(
	    str_of((const char *)section->text.data, section->text.len),
	    digest);
	return memcmp(digest, section->digest.data, sizeof(digest)) == 0;
}

/*
 * Returns whether a batch may be installed.  When it may not, the entry stays
 * at its old index, so it accepts no lease and is sent the changes again.
 */
bool
batch_is_intact(const Wire__Changes *batch)
{
	uint64_t last = 0;

	for (size_t i = 0; i < batch->n_changes; i++) {
		const Wire__Change *change = batch->changes[i];

		if (change->index < last || change->index > batch->to_index)
			return false;
		last = change->index;
		if (change->body_case == WIRE__CHANGE__BODY_SECTION &&
		    !section_is_intact(change->section))
			return false;
	}
	return true;
}
