#include "document/document_split.h"

#include <string.h>

/* Removes the next line, with its line end, from the front of rest. */
static struct str
take_line(struct str *rest)
{
	const char *end =
	    rest->len > 0 ? memchr(rest->data, '\n', rest->len) : NULL;
	size_t len = end != NULL ? (size_t)(end - rest->data) + 1 : rest->len;
	struct str line = str_of(rest->data, len);

	rest->data += len;
	rest->len -= len;
	return line;
}

/* Returns whether a line is "---" with optional trailing white space. */
static bool
is_separator(struct str line)
{
	return str_has_prefix(line, STR_LITERAL("---")) &&
	    str_trim(line).len == 3;
}

/* Returns whether a line is blank or a comment. */
static bool
is_empty(struct str line)
{
	struct str text = str_trim(line);

	return text.len == 0 || text.data[0] == '#';
}

/*
 * Removes the next part with content from the front of rest; false when there
 * is none.  *line, which starts at 1, is advanced past the lines read.  The
 * part borrows from rest's text.
 */
bool
document_split_next(
    struct str *rest, uint32_t *line, struct document_split_part *part)
{
	while (rest->len > 0) {
		bool content = false;

		*part = (struct document_split_part){
		    .text = str_of(rest->data, 0),
		    .line = *line,
		};
		while (rest->len > 0) {
			struct str next = take_line(rest);

			++*line;
			if (is_separator(next))
				break;
			part->text.len += next.len;
			content = content || !is_empty(next);
		}
		if (content)
			return true;
	}
	return false;
}

/*
 * Returns the line number, from 1, of the first "---" line; 0 if none.
 */
uint32_t
document_split_find_separator(struct str text)
{
	uint32_t line = 1;

	for (; text.len > 0; line++) {
		if (is_separator(take_line(&text)))
			return line;
	}
	return 0;
}
