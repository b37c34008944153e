/*
 * Line diff of two texts in unified format.
 */
#ifndef DOCUMENT_DOCUMENT_DIFF_H
#define DOCUMENT_DOCUMENT_DIFF_H

#include "base/str.h"

/*
 * Appends unified hunks with context lines around each change; nothing when the
 * texts are equal.  Stops after max_bytes with a line that says so.
 */
void document_diff(struct str from, struct str to, uint32_t context,
    size_t max_bytes, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
