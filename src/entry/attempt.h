/*
 * An attempt of a call on one target.
 */
#ifndef ENTRY_ATTEMPT_H
#define ENTRY_ATTEMPT_H

#include "entry/answer.h"
#include "entry/request.h"

struct attempt {
	struct request *request;
	struct balance_ticket ticket; /* of the target */
	struct answer answer;
	char span[ANSWER_SPAN_BYTES];
	uint64_t body_sent; /* bytes passed to the target */
	uint64_t next_caller_check_us; /* monotonic */
	bool body_streamed; /* body bytes beyond the buffer were sent */
	/* The result. */
	bool answered; /* the caller got a complete answer */
	bool timed_out;
	bool withdrawn; /* not sent: the target left or asked to back off */
	enum retry_failure failure; /* when not answered */
	enum balance_outcome outcome;
	uint64_t duration_us;
};

/* Runs on the target of a ticket, which is not finished. */
void attempt_run(struct attempt *attempt,
    const struct balance_ticket *ticket) ATTR_NONNULL_ALL;

#endif
