#include "document/document_diff.h"

#include <string.h>

#include "base/memory.h"

enum {
	LCS_CELLS_MAX = 1000 * 1000 /* larger changes become one block */
};

struct lines {
	struct str *line; /* excludes the line end */
	uint32_t count;
};

/* One step of the edit script from one text to the other. */
struct edit {
	char kind; /* ' ', '-' or '+' */
	uint32_t from; /* line of the old text, from 0 */
	uint32_t to; /* line of the new text, from 0 */
};

struct script {
	struct edit *edits;
	uint32_t count;
};

/*
 * Splits text into lines that borrow from it; a trailing line end starts no new
 * line.  The caller frees the array.
 */
static struct lines
split_lines(struct str text)
{
	struct lines lines = {0};
	struct str rest = text;
	struct str line;
	uint32_t count = 1;

	for (size_t i = 0; i < text.len; i++)
		count += text.data[i] == '\n';
	lines.line = mem_calloc(count, sizeof(*lines.line));
	while (rest.len > 0 && str_split(&rest, '\n', &line))
		lines.line[lines.count++] = line;
	return lines;
}

/* Appends a step; the script has room for all lines of both texts. */
static void
add_edit(struct script *script, char kind, uint32_t from, uint32_t to)
{
	script->edits[script->count++] =
	    (struct edit){.kind = kind, .from = from, .to = to};
}

/*
 * Computes the longest common subsequence by dynamic programming (Wagner and
 * Fischer 1974) over rows old and columns new lines from line first on.
 * cells[i][k] is its length for the lines from i and k on.  The caller frees
 * the table.
 */
static uint32_t *
lcs_lengths(const struct lines *from, const struct lines *to, uint32_t first,
    uint32_t rows, uint32_t columns)
{
	size_t width = (size_t)columns + 1;
	uint32_t *cells =
	    mem_calloc(((size_t)rows + 1) * width, sizeof(*cells));

	for (uint32_t i = rows; i-- > 0;) {
		for (uint32_t k = columns; k-- > 0;) {
			uint32_t *cell = &cells[i * width + k];

			if (str_equal(
				from->line[first + i], to->line[first + k]))
				*cell = cells[(i + 1) * width + k + 1] + 1;
			else if (cell[width] >= cell[1])
				*cell = cell[width];
			else
				*cell = cell[1];
		}
	}
	return cells;
}

/*
 * Appends the steps for rows old and columns new lines from line first on.
 * Beyond LCS_CELLS_MAX pairs, all old lines are removed and all new lines added
 * as one block, to bound time and memory.
 */
static void
diff_middle(struct script *script, const struct lines *from,
    const struct lines *to, uint32_t first, uint32_t rows, uint32_t columns)
{
	size_t width = (size_t)columns + 1;
	uint32_t *cells = NULL;
	uint32_t i = 0;
	uint32_t k = 0;

	if ((uint64_t)rows * columns <= LCS_CELLS_MAX)
		cells = lcs_lengths(from, to, first, rows, columns);
	while (cells != NULL && i < rows && k < columns) {
		const uint32_t *cell = &cells[i * width + k];

		if (str_equal(from->line[first + i], to->line[first + k])) {
			add_edit(script, ' ', first + i, first + k);
			i++;
			k++;
		} else if (cell[width] >= cell[1]) {
			add_edit(script, '-', first + i, first + k);
			i++;
		} else {
			add_edit(script, '+', first + i, first + k);
			k++;
		}
	}
	for (; i < rows; i++)
		add_edit(script, '-', first + i, first + k);
	for (; k < columns; k++)
		add_edit(script, '+', first + rows, first + k);
	mem_free(cells);
}

/*
 * Returns the whole edit script.  The common prefix and suffix are stripped
 * first, so that the LCS table covers only the lines between.  The caller frees
 * the edits.
 */
static struct script
make_edit_script(const struct lines *from, const struct lines *to)
{
	struct script script = {0};
	uint32_t shorter = from->count < to->count ? from->count : to->count;
	uint32_t head = 0;
	uint32_t tail = 0;

	script.edits =
	    mem_calloc((size_t)from->count + to->count, sizeof(*script.edits));
	while (head < shorter && str_equal(from->line[head], to->line[head])) {
		add_edit(&script, ' ', head, head);
		head++;
	}
	while (tail < shorter - head &&
	    str_equal(from->line[from->count - 1 - tail],
		to->line[to->count - 1 - tail]))
		tail++;
	diff_middle(&script, from, to, head, from->count - head - tail,
	    to->count - head - tail);
	for (; tail > 0; tail--)
		add_edit(&script, ' ', from->count - tail, to->count - tail);
	return script;
}

/*
 * Returns the end of the hunk that begins at start; changes with at most 2 *
 * context equal lines between them share a hunk.
 */
static uint32_t
hunk_end(const struct script *script, uint32_t start, uint32_t context)
{
	uint32_t last = start;

	for (uint32_t i = start; i < script->count; i++) {
		if (script->edits[i].kind != ' ')
			last = i;
		else if (i - last > 2 * context)
			break;
	}
	last += context + 1;
	return last < script->count ? last : script->count;
}

/*
 * Appends steps start to end as a hunk in unified format.  Returns false if out
 * would exceed limit bytes; the hunk is then cut after a whole line.
 */
static bool
print_hunk(const struct script *script, const struct lines *from,
    const struct lines *to, uint32_t start, uint32_t end, size_t limit,
    struct str_buf *out)
{
	const struct edit *first = &script->edits[start];
	uint32_t old_lines = 0;
	uint32_t new_lines = 0;

	for (uint32_t i = start; i < end; i++) {
		old_lines += script->edits[i].kind != '+';
		new_lines += script->edits[i].kind != '-';
	}
	str_buf_printf(out, "@@ -%u,%u +%u,%u @@\n",
	    old_lines > 0 ? first->from + 1 : first->from, old_lines,
	    new_lines > 0 ? first->to + 1 : first->to, new_lines);
	for (uint32_t i = start; i < end; i++) {
		const struct edit *edit = &script->edits[i];
		struct str line = edit->kind == '+' ? to->line[edit->to]
						    : from->line[edit->from];

		if (out->len + line.len > limit)
			return false;
		str_buf_printf(out, "%c%.*s\n", edit->kind, STR_ARG(line));
	}
	return true;
}

/* Appends all hunks, and a closing line if max_bytes cut them short. */
static void
print_hunks(const struct script *script, const struct lines *from,
    const struct lines *to, uint32_t context, size_t max_bytes,
    struct str_buf *out)
{
	size_t limit = out->len + max_bytes;
	uint32_t at = 0;

	while (at < script->count) {
		uint32_t start;
		uint32_t end;

		if (script->edits[at].kind == ' ') {
			at++;
			continue;
		}
		start = at > context ? at - context : 0;
		end = hunk_end(script, at, context);
		if (!print_hunk(script, from, to, start, end, limit, out)) {
			str_buf_append_c(
			    out, "(the rest of the change is left out)\n");
			return;
		}
		at = end;
	}
}

/*
 * Appends a line diff in unified format, without file headers and with context
 * equal lines around each change; nothing when all lines are equal.  After
 * about max_bytes the rest is replaced by a line that says so.
 */
void
document_diff(struct str from, struct str to, uint32_t context,
    size_t max_bytes, struct str_buf *out)
{
	struct lines old = split_lines(from);
	struct lines new = split_lines(to);
	struct script script = make_edit_script(&old, &new);

	print_hunks(&script, &old, &new, context, max_bytes, out);
	mem_free(script.edits);
	mem_free(old.line);
	mem_free(new.line);
}
