/*
 * Proposals that wait for their result: added by request threads, sent and
 * sent again by the link's thread.
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
	uint64_t sent_us; /* 0: to be sent */
	pthread_cond_t done_cond;
	bool done;
	Wire__Result *result; /* NULL when the link closed */
};

typedef void proposal_send(void *ctx, const Wire__Envelope *envelope);

struct proposal_table *proposal_table_new(void);
void proposal_table_free(struct proposal_table *table);
void proposal_table_add(struct proposal_table *table, struct proposal *proposal,
    const Wire__Command *command) ATTR_NONNULL_ALL;
/* Sends what is new, and again what has had no result for a while. */
void proposal_table_send(struct proposal_table *table, uint64_t now_us,
    proposal_send *send, void *ctx) ATTR_NONNULL(1, 3);
/* After a change of leader: all are sent anew with the next sending. */
void proposal_table_resend_all(struct proposal_table *table) ATTR_NONNULL_ALL;
/* Takes the result, or frees it when nobody waits for it any more. */
void proposal_table_complete(struct proposal_table *table, uint64_t request,
    Wire__Result *result) ATTR_NONNULL(1);
/* Ends every waiting proposal, and each later one, without a result. */
void proposal_table_fail_all(struct proposal_table *table) ATTR_NONNULL_ALL;
/*
 * Waits for the result until a monotonic deadline.  STATUS_TIMEOUT: what
 * became of the command is unknown; STATUS_CLOSED: the link shut down.
 */
enum status proposal_wait(struct proposal_table *table,
    struct proposal *proposal, uint64_t deadline_us,
    Wire__Result **result) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
