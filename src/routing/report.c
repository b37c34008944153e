#include "routing/report.h"

#include <stdarg.h>

#include "base/memory.h"

static void
line_free(void *value)
{
	struct report_line *line = value;

	g_free(line->host);
	g_free(line->name);
	g_free(line->text);
	mem_free(line);
}

/*
 * Returns an empty list.
 */
GPtrArray *
report_new(void)
{
	return g_ptr_array_new_with_free_func(line_free);
}

/*
 * Appends a line.
 */
void
report_add(GPtrArray *report, enum report_kind kind, enum report_place place,
    const char *host, const char *name, const char *fmt, ...)
{
	struct report_line *line = mem_alloc(sizeof(*line));
	va_list arguments;

	va_start(arguments, fmt);
	*line = (struct report_line){
	    .kind = kind,
	    .place = place,
	    .host = g_strdup(host),
	    .name = g_strdup(name),
	    .text = g_strdup_vprintf(fmt, arguments),
	};
	va_end(arguments);
	g_ptr_array_add(report, line);
}

/*
 * Returns the number of lines of a kind.
 */
unsigned
report_count(const GPtrArray *report, enum report_kind kind)
{
	unsigned count = 0;

	for (guint i = 0; i < report->len; i++) {
		const struct report_line *line = report->pdata[i];

		if (line->kind == kind)
			count++;
	}
	return count;
}

/*
 * Returns the word for a kind in the output.
 */
const char *
report_kind_name(enum report_kind kind)
{
	static const char *const names[] = {
	    [REPORT_ERROR] = "error",
	    [REPORT_WARNING] = "warning",
	    [REPORT_ADDED] = "added",
	    [REPORT_REMOVED] = "removed",
	    [REPORT_CHANGED] = "changed",
	};

	return names[kind];
}

/*
 * Returns the word for a place in the output.
 */
const char *
report_place_name(enum report_place place)
{
	static const char *const names[] = {
	    [REPORT_DOCUMENT] = "document",
	    [REPORT_HOST] = "host",
	    [REPORT_ROUTE] = "route",
	    [REPORT_SERVICE] = "service",
	    [REPORT_ACCOUNT] = "account",
	};

	return names[place];
}
