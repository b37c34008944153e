#include "base/status_line.h"

/* "0" stands for any digit, "1" for the first one of a status. */
static const char pattern[] = "HTTP/0.0 100";

enum {
	PATTERN_BYTES = sizeof(pattern) - 1
};

static bool
is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/*
 * Returns whether a byte may stand at a position of the line.
 */
static bool
fits(unsigned at, char c)
{
	if (at == PATTERN_BYTES)
		return c == ' ' || c == '\r' || c == '\n';
	if (pattern[at] == '0')
		return is_digit(c);
	if (pattern[at] == '1')
		return c >= '1' && c <= '5';
	return c == pattern[at];
}

/*
 * Reads bytes up to the one behind the status.
 */
bool
status_line_read(struct status_line *line, struct str bytes)
{
	for (size_t i = 0; i < bytes.len && line->at <= PATTERN_BYTES; i++) {
		char c = bytes.data[i];

		if (line->at == 0 && (c == '\r' || c == '\n'))
			continue;
		if (!fits(line->at, c))
			return false;
		line->at++;
	}
	return true;
}
