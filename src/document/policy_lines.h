/*
 * Line numbers of the fields of a section, for error messages.  Also rejects
 * the YAML constructs that a section may not use.
 */
#ifndef DOCUMENT_POLICY_LINES_H
#define DOCUMENT_POLICY_LINES_H

#include "base/status.h"
#include "base/str.h"

struct policy_lines;

/*
 * Reads the events of one YAML document.  STATUS_INVALID on a syntax error, a
 * second document, an alias, a duplicate key or nesting deeper than a section
 * can have; the message names the line.
 */
enum status policy_lines_read(struct str text,
    struct policy_lines **lines) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void policy_lines_free(struct policy_lines *lines);
/*
 * Returns the line, from 1, of a path such as "service.routes[2].path", or of
 * its nearest ancestor in the text.
 */
uint32_t policy_lines_find(
    const struct policy_lines *lines, struct str path) ATTR_NONNULL_ALL;

#endif
