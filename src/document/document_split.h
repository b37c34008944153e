/*
 * A document file: sections separated by lines that read "---".
 */
#ifndef DOCUMENT_DOCUMENT_SPLIT_H
#define DOCUMENT_DOCUMENT_SPLIT_H

#include "base/str.h"

struct document_split_part {
	struct str text; /* without the separator line */
	uint32_t line; /* in the file, from 1 */
};

/*
 * Takes the next section's text off *rest, byte for byte; parts of blank
 * lines and comments only are passed over.  *line counts on; start at 1.
 */
bool document_split_next(struct str *rest, uint32_t *line,
    struct document_split_part *part) ATTR_NONNULL_ALL;
/* The line, counted from 1, of the first separator in text; 0: none. */
uint32_t document_split_find_separator(struct str text);

#endif
