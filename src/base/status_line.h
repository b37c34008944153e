/*
 * The status line of an HTTP/1 response, up to the end of its status: three
 * digits, 100 to 599 (RFC 9110, section 15).  Parsers accept other numbers.
 */
#ifndef BASE_STATUS_LINE_H
#define BASE_STATUS_LINE_H

#include <stdbool.h>

#include "base/attr.h"
#include "base/str.h"

struct status_line {
	unsigned at; /* bytes read; empty lines before it don't count */
};

/*
 * Reads the next bytes of a response; what follows the status is ignored.
 * Returns false if they can't begin a response.
 */
bool status_line_read(struct status_line *line,
    struct str bytes) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
