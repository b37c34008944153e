/*
 * Consistency checks across the sections of a document.
 */
#ifndef DOCUMENT_DOCUMENT_CHECK_H
#define DOCUMENT_DOCUMENT_CHECK_H

#include "document/policy.h"

struct document_sections {
	struct policy_section *const *list;
	uint32_t count;
};

/*
 * Checks whether next, in place of the section with the same name, is
 * consistent with the other sections.  STATUS_INVALID names the field and the
 * conflicting section.
 */
enum status document_check_section(struct document_sections sections,
    const struct policy_section *next) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Finds a team listed in the fleet section; NULL when there is none. */
const struct policy_team *
document_check_find_team(struct document_sections sections, struct str team);

#endif
