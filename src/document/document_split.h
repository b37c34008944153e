/*
 * Splits a document file into its sections, which are separated by "---" lines.
 */
#ifndef DOCUMENT_DOCUMENT_SPLIT_H
#define DOCUMENT_DOCUMENT_SPLIT_H

#include "base/str.h"

struct document_split_part {
	struct str text; /* excludes the separator line */
	uint32_t line; /* in the file, from 1 */
};

/*
 * Removes the next section from the front of *rest, byte for byte, and stores
 * it in *part.  Parts with only blank lines and comments are skipped.  *line is
 * advanced past the lines read; start at 1.  Returns false at the end.
 */
bool document_split_next(struct str *rest, uint32_t *line,
    struct document_split_part *part) ATTR_NONNULL_ALL;
/* Returns the line number, from 1, of the first separator; 0 if none. */
uint32_t document_split_find_separator(struct str text);

#endif
