/*
 * Findings about a document and differences between two: a list of lines, each
 * with its kind, its place and a text.
 */
#ifndef ROUTING_REPORT_H
#define ROUTING_REPORT_H

#include <glib.h>

#include "base/attr.h"

enum report_kind {
	/* refused by control, or an entry that serves no request */
	REPORT_ERROR,
	REPORT_WARNING, /* accepted, and probably not what was meant */
	REPORT_ADDED,
	REPORT_REMOVED,
	REPORT_CHANGED
};

enum report_place {
	REPORT_DOCUMENT,
	REPORT_HOST,
	REPORT_ROUTE,
	REPORT_SERVICE,
	REPORT_ACCOUNT
};

struct report_line {
	enum report_kind kind;
	enum report_place place;
	char *host; /* of a route; NULL: none */
	char *name; /* NULL: the document itself */
	char *text;
};

/* A list of struct report_line, freed with g_ptr_array_unref(). */
GPtrArray *report_new(void) ATTR_UNUSED_RESULT;
/* Appends a line; strings are copied, host and name may be NULL. */
void report_add(GPtrArray *report, enum report_kind kind,
    enum report_place place, const char *host, const char *name,
    const char *fmt, ...) ATTR_PRINTF(6, 7) ATTR_NONNULL(1, 6);
unsigned
report_count(const GPtrArray *report, enum report_kind kind) ATTR_NONNULL_ALL;
const char *report_kind_name(enum report_kind kind);
const char *report_place_name(enum report_place place);

#endif
