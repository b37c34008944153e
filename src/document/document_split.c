#include "document/document_split.h"

#include <string.h>

/* Takes the next line with its line end off the front of rest. */
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

/* Whether a line is "---", with white space behind it at most. */
static bool
is_separator(struct str line)
{
	return str_has_prefix(line, STR_LITERAL("---")) &&
	    str_trim(line).len == 3;
}

/* Whether a line holds nothing but white space or a comment. */
static bool
is_empty(struct str line)
{
	struct str text = str_trim(line);

	return text.len == 0 || text.data[0] == '#';
}

/*
 * Takes the next part with content off rest; false when there is none.  *line
 * counts on over the lines read, from 1; the part borrows from rest's text.
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
 * Returns the line, from 1, of the first "---" in text; 0 without one.
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
