#include "limit/allowance_floor.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/memory.h"

enum {
	MILLI = 1000, /* levels in the file are in thousandths of a token */
	/*
	 * A bucket without a floor starts with one token: one of a smaller
	 * capacity would gain less than another token.
	 */
	CAPACITY_LEAST = 4
};

/*
 * Shares of the capacity.  A floor is at most a half, so that a bucket whose
 * disk does not answer still grants its rate from the other half.  It is raised
 * well above that, and lowered before the level reaches it.
 */
static const double floor_ratio = 0.5;
static const double raise_ratio = 0.75;
static const double lower_ratio = 0.625;

static void
line_free(void *value)
{
	struct allowance_floor_line *line = value;

	g_free(line->account);
	mem_free(line);
}

/*
 * Creates an empty list of lines.
 */
GPtrArray *
allowance_floor_lines_new(void)
{
	return g_ptr_array_new_with_free_func(line_free);
}

/*
 * Adds a line; level is in tokens.
 */
void
allowance_floor_lines_add(GPtrArray *lines, const char *account, double level)
{
	struct allowance_floor_line *line = mem_calloc(1, sizeof(*line));

	line->account = g_strdup(account);
	line->level = level;
	g_ptr_array_add(lines, line);
}

/*
 * Returns how many tokens of a floor count with a capacity: at most half of it,
 * and none of a small one.
 */
double
allowance_floor_limit(double level, double capacity)
{
	if (capacity < CAPACITY_LEAST)
		return 0;
	return fmin(level, capacity * floor_ratio);
}

/*
 * Notes the level that a draw has left or found.  Returns whether the floor
 * should be lowered now.
 */
bool
allowance_floor_on_draw(
    struct allowance_floor *floor, double level, double capacity)
{
	if (level < capacity * raise_ratio)
		floor->high = false;
	return floor->held > 0 && level < capacity * lower_ratio;
}

/*
 * Returns the floor that the next write should hold, in tokens.  It is raised
 * only if the level was high at two scans and at all draws between them, so
 * that a bucket in constant use does not withhold tokens again and again.
 * may_raise: this is a scan.
 */
double
allowance_floor_wanted(struct allowance_floor *floor, double level,
    double capacity, bool may_raise)
{
	bool was_high = floor->high;
	double held = allowance_floor_limit(floor->held, capacity);

	if (may_raise)
		floor->high = level >= capacity * raise_ratio;
	if (may_raise && was_high && floor->high)
		return allowance_floor_limit(capacity * floor_ratio, capacity);
	return level < capacity * lower_ratio ? 0 : held;
}

/*
 * A write begins that holds this level, or 0 for none.
 */
void
allowance_floor_begin(struct allowance_floor *floor, double level)
{
	floor->writing = level;
	floor->held = fmax(floor->held, level);
}

/*
 * The write has ended.  After a failed one the file may hold either level.
 */
void
allowance_floor_end(struct allowance_floor *floor, enum allowance_write outcome)
{
	if (outcome == ALLOWANCE_WRITE_DONE)
		floor->held = floor->writing;
	else if (outcome == ALLOWANCE_WRITE_EMPTY)
		floor->held = 0;
	floor->writing = 0;
}

/*
 * Appends the text of a file: replica id, number of shares and of lines; a line
 * for each account with its level in thousandths, rounded down, and its name
 * after its length; a digest.
 */
void
allowance_floor_format(struct str_buf *out, uint64_t replica_id,
    unsigned shares, const GPtrArray *lines)
{
	size_t start = out->len;

	str_buf_printf(
	    out, "%" PRIu64 " %u %u\n", replica_id, shares, lines->len);
	for (guint i = 0; i < lines->len; i++) {
		const struct allowance_floor_line *line =
		    g_ptr_array_index(lines, i);

		str_buf_printf(out, "%" PRIu64 " %zu %s\n",
		    (uint64_t)floor(line->level * MILLI), strlen(line->account),
		    line->account);
	}
	str_buf_printf(out, "%" PRIu64 "\n",
	    str_hash(str_of(out->data + start, out->len - start)));
}

/*
 * Takes the next number and the character after it.
 */
static bool
take_number(struct str *rest, char separator, uint64_t *value)
{
	struct str word;

	return str_split(rest, separator, &word) && str_to_u64(word, value);
}

/*
 * Takes the last line and compares it with the digest of all before it.
 */
static bool
take_digest(struct str *text)
{
	struct str body = *text;
	struct str last;
	uint64_t digest;

	if (body.len == 0 || body.data[body.len - 1] != '\n')
		return false;
	body.len--;
	while (body.len > 0 && body.data[body.len - 1] != '\n')
		body.len--;
	last = str_of(text->data + body.len, text->len - body.len - 1);
	*text = body;
	return str_to_u64(last, &digest) && digest == str_hash(body);
}

/*
 * Reads the text of a file.  Returns NULL if it is torn, or not of this replica
 * and number of shares: with another number a bucket has another capacity.
 */
GPtrArray *
allowance_floor_parse(struct str text, uint64_t replica_id, unsigned shares)
{
	GPtrArray *lines = NULL;
	uint64_t numbers[3];

	if (!take_digest(&text) || !take_number(&text, ' ', &numbers[0]) ||
	    !take_number(&text, ' ', &numbers[1]) ||
	    !take_number(&text, '\n', &numbers[2]) ||
	    numbers[0] != replica_id || numbers[1] != shares ||
	    numbers[2] > ALLOWANCE_FLOORS_MAX)
		return NULL;
	lines = allowance_floor_lines_new();
	for (uint64_t i = 0; i < numbers[2]; i++) {
		uint64_t milli;
		uint64_t len;
		char *name;

		if (!take_number(&text, ' ', &milli) ||
		    !take_number(&text, ' ', &len) || len >= text.len) {
			g_ptr_array_unref(lines);
			return NULL;
		}
		name = str_dup(str_of(text.data, len));
		allowance_floor_lines_add(lines, name, (double)milli / MILLI);
		mem_free(name);
		text = str_of(text.data + len + 1, text.len - len - 1);
	}
	return lines;
}
