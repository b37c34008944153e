/*
 * Streams a target's answer to the caller with constant memory.  Nothing is
 * written before the target's response head is complete.
 */
#ifndef ENTRY_ANSWER_H
#define ENTRY_ANSWER_H

#include "balance/balance.h"
#include "base/web.h"
#include "entry/notice.h"

enum {
	ANSWER_SPAN_BYTES = 17 /* 16 hexadecimal digits and a NUL */
};

struct answer {
	struct mg_connection *conn;
	const char *span; /* of this attempt; validates "not started" */
	bool head_request;
	bool close; /* close the caller's connection after this answer */
	size_t copy_max; /* bytes of the body to copy; 0: none */
	const char *leaving_header; /* see notice_read() */
	bool read_to_end; /* for the claim, even if the caller disconnects */
	/* Set while the answer is received. */
	int status;
	bool head_complete; /* later lines are trailers */
	struct str_buf head; /* of the answer to the caller */
	struct str_buf body_copy; /* up to copy_max bytes */
	bool copy_complete;
	char content_type[128];
	int64_t content_length; /* -1: unknown */
	bool not_started; /* the target didn't start this attempt */
	bool started; /* bytes were written to the caller */
	bool caller_gone; /* writing to the caller failed */
	struct notice notice; /* what the target said of itself */
	bool has_report;
	struct balance_report report;
	uint64_t bytes;
};

void answer_reset(struct answer *answer) ATTR_NONNULL_ALL;
/* Handles a line of the target's response head. */
bool answer_header(
    struct answer *answer, struct str line, long status) ATTR_NONNULL_ALL;
bool answer_write(struct answer *answer, struct str data) ATTR_NONNULL_ALL;
/* Whether the body that was received has the length that the head states. */
bool answer_is_whole(const struct answer *answer) ATTR_NONNULL_ALL;
/* Finishes a complete answer; false if it couldn't be written. */
bool answer_finish(struct answer *answer) ATTR_NONNULL_ALL;
/* Marks the answer as truncated, visibly to the caller. */
void answer_abort(struct answer *answer) ATTR_NONNULL_ALL;
void answer_release(struct answer *answer) ATTR_NONNULL_ALL;
/* Compares a header name, ignoring case (RFC 9110, 5.1). */
bool answer_header_is(struct str name, const char *text) ATTR_NONNULL(2);
/* Returns whether a header is hop-by-hop (RFC 9110, 7.6.1). */
bool answer_is_hop_by_hop(struct str name);

#endif
