/*
 * What a target says of itself in a response, to a call or a probe: that it
 * leaves, and with a 503 for how long it wants nothing from this entry.
 */
#ifndef ENTRY_NOTICE_H
#define ENTRY_NOTICE_H

#include "base/str.h"

struct notices;
struct view_store;
struct departures;

struct notice {
	bool leaving;
	bool unreadable; /* a value of Retry-After */
	uint64_t retry_after_us; /* the longest of all values */
};

/* Who said it. */
struct notice_target {
	struct str id;
	uint64_t incarnation;
	const char *source; /* "answer" or "probe" */
};

struct notices_params {
	struct view_store *views;
	struct departures *departures;
};

struct notices *
notices_new(const struct notices_params *params) ATTR_NONNULL_ALL;
void notices_free(struct notices *notices);
/*
 * Evaluates a header of a response; others are ignored.  leaving_header is
 * another name of the header by which targets say that they leave, or NULL.
 */
void notice_read(struct notice *notice, const char *leaving_header,
    struct str name, struct str value) ATTR_NONNULL(1);
/* Acts on the complete head of a final response. */
void notice_apply(struct notices *notices, const struct notice_target *target,
    const struct notice *notice, int status) ATTR_NONNULL_ALL;

#endif
