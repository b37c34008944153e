#include "ctl/ctl_table.h"

#include <stdio.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"

enum {
	COLUMNS_MAX = 16,
	COLUMN_GAP = 2,
	NUMBER_BYTES = 24
};

struct ctl_table {
	struct str headings[COLUMNS_MAX];
	unsigned columns;
	bool colour;
	char **cells; /* row by row */
	size_t count;
	size_t capacity;
};

struct word_colour {
	const char *word;
	const char *escape;
};

static const char reset[] = "\033[0m";
static const char bold[] = "\033[1m";

static const struct word_colour word_colours[] = {
    {"ready", "\033[32m"},
    {"leader", "\033[32m"},
    {"accepted", "\033[32m"},
    {"unchanged", "\033[32m"},
    {"cold", "\033[36m"},
    {"learner", "\033[36m"},
    {"draining", "\033[33m"},
    {"leaving", "\033[33m"},
    {"conflict", "\033[31m"},
    {"denied", "\033[31m"},
    {"invalid", "\033[31m"},
    {"expired", "\033[31m"},
    {"spent", "\033[31m"},
};

/*
 * Creates a table, freed with ctl_table_free().  The headings are separated by
 * '|' and borrowed; those beyond COLUMNS_MAX are ignored.
 */
struct ctl_table *
ctl_table_new(const char *headings, bool colour)
{
	struct ctl_table *table = mem_calloc(1, sizeof(*table));
	struct str rest = str_from(headings);

	table->colour = colour;
	while (table->columns < COLUMNS_MAX &&
	    str_split(&rest, '|', &table->headings[table->columns]))
		table->columns++;
	return table;
}

/*
 * Frees the table and its cells; NULL is allowed.
 */
void
ctl_table_free(struct ctl_table *table)
{
	if (table == NULL)
		return;
	for (size_t i = 0; i < table->count; i++)
		mem_free(table->cells[i]);
	mem_free(table->cells);
	mem_free(table);
}

/*
 * Adds the next cell, row by row; the text is copied.
 */
void
ctl_table_add_cell(struct ctl_table *table, struct str text)
{
	if (table->count == table->capacity) {
		table->capacity =
		    table->capacity > 0 ? 2 * table->capacity : COLUMNS_MAX;
		table->cells = mem_resize(
		    table->cells, table->capacity * sizeof(*table->cells));
	}
	table->cells[table->count++] = str_dup(text);
}

/*
 * Adds the next cell with a number.
 */
void
ctl_table_add_number(struct ctl_table *table, uint64_t value)
{
	char text[NUMBER_BYTES];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	ctl_table_add_cell(table, str_from(text));
}

/*
 * Returns the number of code points of a UTF-8 text, which is taken as its
 * width on a terminal.
 */
size_t
ctl_table_width(struct str text)
{
	size_t width = 0;

	for (size_t i = 0; i < text.len; i++)
		width += ((unsigned char)text.data[i] & 0xc0) != 0x80;
	return width;
}

/* Returns the number of cells in complete rows. */
static size_t
cells_in_full_rows(const struct ctl_table *table)
{
	INVARIANT(table->columns > 0, "a table has columns");
	return table->count - table->count % table->columns;
}

/* Returns whether a cell has only digits and the characters ".%-+". */
static bool
is_number(const char *cell)
{
	return cell[0] != '\0' &&
	    strspn(cell, "0123456789.%-+") == strlen(cell);
}

/*
 * Returns whether all non-empty cells of a column, at least one, are numbers.
 * Such columns are right-aligned.
 */
static bool
is_numeric(const struct ctl_table *table, unsigned column)
{
	bool has_number = false;

	for (size_t i = column; i < cells_in_full_rows(table);
	     i += table->columns) {
		if (table->cells[i][0] == '\0')
			continue;
		if (!is_number(table->cells[i]))
			return false;
		has_number = true;
	}
	return has_number;
}

/* Returns the width of a column, including its heading, in code points. */
static size_t
column_width(const struct ctl_table *table, unsigned column)
{
	size_t width = ctl_table_width(table->headings[column]);

	for (size_t i = column; i < cells_in_full_rows(table);
	     i += table->columns) {
		size_t cell = ctl_table_width(str_from(table->cells[i]));

		if (cell > width)
			width = cell;
	}
	return width;
}

/* Returns the escape sequence of the colour for a state; NULL for none. */
static const char *
find_colour(const struct ctl_table *table, struct str text)
{
	if (!table->colour)
		return NULL;
	for (size_t i = 0; i < sizeof(word_colours) / sizeof(word_colours[0]);
	     i++) {
		if (str_equal_c(text, word_colours[i].word))
			return word_colours[i].escape;
	}
	return NULL;
}

/* Appends count spaces. */
static void
append_spaces(size_t count, struct str_buf *out)
{
	while (count-- > 0)
		str_buf_append_c(out, " ");
}

/*
 * Appends a cell padded to width.  The last cell of a row is followed by a
 * newline instead of padding.  escape is a colour's escape sequence or NULL.
 */
static void
render_cell(struct str text, size_t width, bool align_right, bool last,
    const char *escape, struct str_buf *out)
{
	size_t padding = width - ctl_table_width(text);

	if (align_right)
		append_spaces(padding, out);
	if (escape != NULL)
		str_buf_append_c(out, escape);
	str_buf_append(out, text);
	if (escape != NULL)
		str_buf_append_c(out, reset);
	if (last) {
		str_buf_append_c(out, "\n");
		return;
	}
	append_spaces((align_right ? 0 : padding) + COLUMN_GAP, out);
}

/*
 * Appends the headings and all complete rows.
 */
void
ctl_table_render(const struct ctl_table *table, struct str_buf *out)
{
	size_t widths[COLUMNS_MAX];
	bool numeric[COLUMNS_MAX];

	for (unsigned i = 0; i < table->columns; i++) {
		widths[i] = column_width(table, i);
		numeric[i] = is_numeric(table, i);
		render_cell(table->headings[i], widths[i], numeric[i],
		    i + 1 == table->columns, table->colour ? bold : NULL, out);
	}
	for (size_t i = 0; i < cells_in_full_rows(table); i++) {
		unsigned column = (unsigned)(i % table->columns);
		struct str cell = str_from(table->cells[i]);

		render_cell(cell, widths[column], numeric[column],
		    column + 1 == table->columns, find_colour(table, cell),
		    out);
	}
}
