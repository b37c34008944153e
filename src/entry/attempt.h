/*
 * One attempt of a call on one target.
 */
#ifndef ENTRY_ATTEMPT_H
#define ENTRY_ATTEMPT_H

#include "entry/answer.h"
#include "entry/request.h"

struct attempt {
	struct request *request;
	struct answer answer;
	char span[ANSWER_SPAN_BYTES];
	uint64_t body_sent; /* bytes given to the target */
	uint64_t
	    next_caller_check_us; /* when to ask next whether the caller is there */
	bool body_streamed; /* more than the replay buffer was given */
	/* What it came to. */
	bool answered; /* a whole answer went to the caller */
	bool timed_out;
	enum retry_failure failure; /* when not answered */
	enum balance_outcome outcome;
	uint64_t duration_us;
};

void attempt_run(struct attempt *attempt, struct str address) ATTR_NONNULL_ALL;

#endif
