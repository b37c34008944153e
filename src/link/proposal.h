/*
 * Proposals that wait for their result: added by request threads, sent and
 * resent by the link's thread.
 */
#ifndef LINK_PROPOSAL_H
#define LINK_PROPOSAL_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/wire.pb-c.h"

struct proposal_table;

/* Lives on the waiting thread's stack. */
struct proposal {
	uint64_t request;
	const Wire__Command *command;
	uint64_t sent_us; /* monotonic; 0: send at the next opportunity */
	pthread_cond_t done_cond;
	bool done;
	Wire__Result *result; /* NULL if the link was closed */
};

typedef void proposal_send(void *ctx, const Wire__Envelope *envelope);

struct proposal_table *proposal_table_new(void);
void proposal_table_free(struct proposal_table *table);
void proposal_table_add(struct proposal_table *table, struct proposal *proposal,
    const Wire__Command *command) ATTR_NONNULL_ALL;
/* Sends new proposals, and resends unanswered ones at intervals. */
void proposal_table_send(struct proposal_table *table, uint64_t now_us,
    proposal_send *send, void *ctx) ATTR_NONNULL(1, 3);
/* After a change of leader: the next proposal_table_send() resends all. */
void proposal_table_resend_all(struct proposal_table *table) ATTR_NONNULL_ALL;
/* Takes ownership of the result; frees it when no thread waits for it. */
void proposal_table_complete(struct proposal_table *table, uint64_t request,
    Wire__Result *result) ATTR_NONNULL(1);
/* Completes all pending and later proposals without a result. */
void proposal_table_fail_all(struct proposal_table *table) ATTR_NONNULL_ALL;
/*
 * Waits for the result until a monotonic deadline (us).  STATUS_TIMEOUT: the
 * command may or may not have been accepted; STATUS_CLOSED: the link was
 * closed.
 */
enum status proposal_wait(struct proposal_table *table,
    struct proposal *proposal, uint64_t deadline_us,
    Wire__Result **result) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
