/*
 * State of the allowances of client accounts at an entry, shared by the files
 * of this part.
 */
#ifndef FLOW_FLOW_ALLOWANCE_H
#define FLOW_FLOW_ALLOWANCE_H

#include "flow/flow_internal.h"
#include "limit/allowance_draw.h"

/* The allowance of one request. */
struct exchange_allowance {
	struct exchange *exchange;
	struct allowance_call call;
	GList link; /* in flow_allowance.asking while its data is set */
	uint64_t due_us; /* when the voter that was asked counts as silent */
	/* A grant of a target that came before the token; NULL: none. */
	char *target;
	bool remote;
	uint64_t expected_us;
	/* It waits, or has waited, for a voter. */
	uint64_t wait_since_us; /* 0: it has not */
	uint64_t wait_end_us;
	GList wait_link; /* in flow_allowance.waiting while its data is set */
	uint64_t redraw_us; /* when it draws again */
};

struct flow_allowance {
	struct allowance_draws *draws;
	GQueue asking; /* struct exchange_allowance, ordered by due_us */
	uv_timer_t timer; /* runs while there are accounts with limits */
	uint64_t tick_due_us;
	bool was_late; /* the timer was, and the input is read first */
	/* When a voter has last granted, or this process started. */
	uint64_t voter_us;
	GQueue waiting; /* struct exchange_allowance, ordered by redraw_us */
	uint64_t last_redraw_us; /* latest redraw_us that was given */
	uint64_t wake_due_us; /* when all of them draw; UINT64_MAX: not set */
	uint64_t woken_us;
	struct counter *drawn;
	struct counter *refused;
	struct counter *unavailable;
	struct counter *returned;
	struct counter *dropped;
	struct counter *paced;
	struct counter *waiting_now;
	struct counter *served_late;
	struct counter *in_vain;
};

/* flow_allowance.c */
/* Starts the timer for whatever comes next. */
void allowance_start_timer(struct flow_allowance *a, uint64_t now_us);
/* Ends a request that no voter can answer: 503, not run. */
void allowance_refuse_unknown(struct exchange_allowance *own);
/* Draws again for a request that has waited; this may free it. */
void allowance_redraw(struct exchange_allowance *own, uint64_t now_us);

/* flow_allowance_wait.c: requests that wait for a voter */
void allowance_wait_open(struct flow_allowance *a);
/* Lets a request wait; false if a voter is not expected in its time. */
bool allowance_wait_begin(struct exchange_allowance *own, uint64_t now_us);
/* Whether a request has waited, and may not wait any longer. */
bool
allowance_wait_is_over(const struct exchange_allowance *own, uint64_t now_us);
void allowance_wait_stop(struct exchange_allowance *own);
/* The request has its token. */
void allowance_wait_served(struct exchange_allowance *own, uint64_t now_us);
/* A request that has waited ends without a token. */
void allowance_wait_in_vain(struct exchange_allowance *own);
/* All of them draw soon. */
void allowance_wake(struct flow *flow, uint64_t now_us);
uint64_t allowance_wait_due_us(const struct flow_allowance *a);
void allowance_wait_tick(struct flow_allowance *a, uint64_t now_us);

#endif
