#include "link/proposal.h"

#include <glib.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/memory.h"

/* Time after which a proposal without a result is resent. */
static const uint64_t resend_interval_us = 300 * US_PER_MS;

struct proposal_table {
	pthread_mutex_t lock;
	GHashTable *waiting; /* request -> struct proposal */
	uint64_t last_request;
	bool closed;
};

/*
 * Returns an empty table, to be freed with proposal_table_free().
 */
struct proposal_table *
proposal_table_new(void)
{
	struct proposal_table *table = mem_calloc(1, sizeof(*table));

	pthread_mutex_init(&table->lock, NULL);
	table->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	return table;
}

/*
 * Frees the table.  No thread may be waiting on it.
 */
void
proposal_table_free(struct proposal_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->waiting);
	pthread_mutex_destroy(&table->lock);
	mem_free(table);
}

/*
 * Adds a proposal.  The command must stay valid until proposal_wait() returns.
 */
void
proposal_table_add(struct proposal_table *table, struct proposal *proposal,
    const Wire__Command *command)
{
	*proposal = (struct proposal){.command = command};
	condition_init(&proposal->done_cond);
	pthread_mutex_lock(&table->lock);
	proposal->request = ++table->last_request;
	proposal->done = table->closed;
	g_hash_table_insert(table->waiting, &proposal->request, proposal);
	pthread_mutex_unlock(&table->lock);
}

/*
 * Sends a proposal with its request number.
 */
static void
send_proposal_message(
    const struct proposal *proposal, proposal_send *send, void *ctx)
{
	Wire__Propose propose = WIRE__PROPOSE__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	propose.request = proposal->request;
	propose.command = (Wire__Command *)proposal->command;
	envelope.body_case = WIRE__ENVELOPE__BODY_PROPOSE;
	envelope.propose = &propose;
	send(ctx, &envelope);
}

/*
 * Sends the proposals that are new, or unanswered for resend_interval_us.  Runs send()
 * under the table's lock: it must neither wait nor use the table.
 */
void
proposal_table_send(struct proposal_table *table, uint64_t now_us,
    proposal_send *send, void *ctx)
{
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&table->lock);
	g_hash_table_iter_init(&iter, table->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct proposal *proposal = value;

		if (proposal->done ||
		    (proposal->sent_us != 0 &&
			now_us < proposal->sent_us + resend_interval_us))
			continue;
		proposal->sent_us = now_us;
		send_proposal_message(proposal, send, ctx);
	}
	pthread_mutex_unlock(&table->lock);
}

/*
 * Makes the next proposal_table_send() send every waiting proposal.
 */
void
proposal_table_resend_all(struct proposal_table *table)
{
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&table->lock);
	g_hash_table_iter_init(&iter, table->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct proposal *)value)->sent_us = 0;
	pthread_mutex_unlock(&table->lock);
}

/*
 * Passes a result to the thread that waits for the request.  Takes ownership
 * of the result and frees it when no thread is waiting.
 */
void
proposal_table_complete(
    struct proposal_table *table, uint64_t request, Wire__Result *result)
{
	struct proposal *proposal;

	pthread_mutex_lock(&table->lock);
	proposal = g_hash_table_lookup(table->waiting, &request);
	if (proposal != NULL && !proposal->done) {
		proposal->done = true;
		proposal->result = result;
		result = NULL;
		pthread_cond_signal(&proposal->done_cond);
	}
	pthread_mutex_unlock(&table->lock);
	if (result != NULL)
		wire__result__free_unpacked(result, NULL);
}

/*
 * Completes all pending and later proposals without a result.
 */
void
proposal_table_fail_all(struct proposal_table *table)
{
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&table->lock);
	table->closed = true;
	g_hash_table_iter_init(&iter, table->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct proposal *proposal = value;

		proposal->done = true;
		pthread_cond_signal(&proposal->done_cond);
	}
	pthread_mutex_unlock(&table->lock);
}

/*
 * Waits for a proposal's result until a monotonic deadline (us) and removes
 * the proposal from the table.  Returns STATUS_TIMEOUT when it is unknown
 * whether the command was accepted, STATUS_CLOSED when the link was closed.
 */
enum status
proposal_wait(struct proposal_table *table, struct proposal *proposal,
    uint64_t deadline_us, Wire__Result **result)
{
	bool done;

	pthread_mutex_lock(&table->lock);
	while (!proposal->done &&
	    condition_wait(&proposal->done_cond, &table->lock, deadline_us))
		;
	done = proposal->done;
	g_hash_table_remove(table->waiting, &proposal->request);
	pthread_mutex_unlock(&table->lock);
	pthread_cond_destroy(&proposal->done_cond);
	*result = proposal->result;
	if (!done)
		return status_set(
		    STATUS_TIMEOUT, "control gave no answer in time");
	if (proposal->result == NULL)
		return status_set(STATUS_CLOSED, "the link is closed");
	return STATUS_OK;
}
