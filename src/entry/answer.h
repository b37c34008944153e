/*
 * Passes a target's answer on to the caller as it comes in, with constant
 * memory.  Nothing is written before the target's head is known whole.
 */
#ifndef ENTRY_ANSWER_H
#define ENTRY_ANSWER_H

#include "balance/balance.h"
#include "base/web.h"

enum {
	ANSWER_SPAN_BYTES = 17 /* 16 hexadecimal digits and a NUL */
};

struct answer {
	struct mg_connection *conn;
	const char *span; /* of this attempt: proves a "not started" */
	bool head_request;
	bool close; /* the caller's connection, after this answer */
	size_t copy_max; /* bytes of the body to keep; 0: none */
	bool read_to_end; /* read on for the claim when the caller has left */
	/* Filled in while the answer comes. */
	int status;
	struct str_buf head; /* of the answer to the caller */
	struct str_buf body_copy; /* its body, up to copy_max */
	bool copy_complete;
	char content_type[128];
	int64_t content_length; /* -1: not told */
	bool not_started; /* the target says so of this very attempt */
	bool started; /* bytes went to the caller */
	bool caller_gone; /* writing to the caller failed */
	bool has_report;
	struct balance_report report;
	uint64_t bytes;
};

void answer_reset(struct answer *answer) ATTR_NONNULL_ALL;
/* Takes a line of the target's head. */
bool answer_header(
    struct answer *answer, struct str line, long status) ATTR_NONNULL_ALL;
bool answer_write(struct answer *answer, struct str data) ATTR_NONNULL_ALL;
/* The target's answer is whole: writes what is left. */
bool answer_finish(struct answer *answer) ATTR_NONNULL_ALL;
/* The target broke off: the caller must see that too. */
void answer_abort(struct answer *answer) ATTR_NONNULL_ALL;
void answer_release(struct answer *answer) ATTR_NONNULL_ALL;
/* Compares a header's name; case does not matter (RFC 9110, 5.1). */
bool answer_header_is(struct str name, const char *text) ATTR_NONNULL(2);
/* Headers of one hop only (RFC 9110, 7.6.1). */
bool answer_is_hop_by_hop(struct str name);

#endif
