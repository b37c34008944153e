#include "entry/claim_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/counter.h"
#include "base/memory.h"

enum {
	WAIT_BUCKETS = 256
};

/* First interval before an unanswered proposal is resent. */
static const uint64_t resend_interval_us = 500 * US_PER_MS;
static const uint64_t end_timeout_us = 2 * US_PER_S;
/* Polling makes up for lost messages about ended claims. */
static const uint64_t wait_poll_us = 500 * US_PER_MS;
/* A duplicate of an open may reach control this long after the claim's end. */
static const uint64_t late_open_us = 20 * US_PER_S;
/* Rate limit of claim queries for refused calls; bounds control's load. */
static const double queries_per_s = 50;

/*
 * An end that is not durable yet, or is proposed once more because a late
 * duplicate of the open may have been granted after it.
 */
struct pending_end {
	struct pending_end *next;
	uint64_t due_us;
	bool repeat; /* propose once more afterwards */
	uint8_t *packed;
	size_t len;
};

struct claim_client {
	const char *entry;
	uint64_t incarnation;
	struct link *link;
	_Atomic uint64_t attempts;
	pthread_mutex_t lock;
	pthread_cond_t ended[WAIT_BUCKETS];
	struct pending_end *pending;
	double query_tokens; /* token bucket, up to queries_per_s */
	uint64_t query_tokens_us; /* last refill, monotonic */
	struct counter *granted;
	struct counter *replayed;
	struct counter *waited;
	struct counter *pending_count;
};

/* Registers a counter without labels. */
static struct counter *
register_total(const char *name, const char *help)
{
	return counter_register(COUNTER_TOTAL, name, help, NULL);
}

/*
 * Creates a claim client.  The string entry must outlive it.
 */
struct claim_client *
claim_client_new(const char *entry, uint64_t incarnation)
{
	struct claim_client *c = mem_calloc(1, sizeof(*c));

	c->entry = entry;
	c->incarnation = incarnation;
	pthread_mutex_init(&c->lock, NULL);
	for (unsigned i = 0; i < WAIT_BUCKETS; i++)
		condition_init(&c->ended[i]);
	c->granted = register_total("gypsummill_entry_claims_granted_total",
	    "Claims granted to this entry (count)");
	c->replayed = register_total("gypsummill_entry_claims_replayed_total",
	    "Calls answered with a stored answer (count)");
	c->waited = register_total("gypsummill_entry_claims_waited_total",
	    "Waits for the end of another attempt (count)");
	c->pending_count =
	    counter_register(COUNTER_GAUGE, "gypsummill_entry_claim_ends_kept",
		"Claim ends that are not durable yet (count)", NULL);
	return c;
}

/*
 * Frees a claim client.  Pending ends are lost, and control ends their claims
 * with an unknown outcome.
 */
void
claim_client_free(struct claim_client *c)
{
	if (c == NULL)
		return;
	while (c->pending != NULL) {
		struct pending_end *end = c->pending;

		c->pending = end->next;
		mem_free(end->packed);
		mem_free(end);
	}
	for (unsigned i = 0; i < WAIT_BUCKETS; i++)
		pthread_cond_destroy(&c->ended[i]);
	pthread_mutex_destroy(&c->lock);
	mem_free(c);
}

/*
 * Sets the link to control.
 */
void
claim_client_set_link(struct claim_client *c, struct link *link)
{
	c->link = link;
}

/* The parts of a claim key as C strings, which protobuf-c requires. */
struct key_text {
	char *tenant;
	char *service;
	char *key;
	char *holder;
};

/*
 * Returns copies of the key's parts and this entry's name, to be freed with
 * key_text_free().
 */
static struct key_text
key_text(const struct claim_client *c, const struct claim_key *key)
{
	return (struct key_text){.tenant = str_dup(key->tenant),
	    .service = str_dup(key->service),
	    .key = str_dup(key->key),
	    .holder = str_dup(str_from(c->entry))};
}

/* Frees the copies made by key_text(). */
static void
key_text_free(struct key_text *text)
{
	mem_free(text->tenant);
	mem_free(text->service);
	mem_free(text->key);
	mem_free(text->holder);
}

/*
 * Returns the condition bucket of a claim.  Claims share buckets, so a wake-up
 * may be for another claim.
 */
static unsigned
wait_bucket(struct str tenant, struct str service, struct str key)
{
	return (unsigned)((str_hash(tenant) ^ str_hash(service) * 3 ^
			      str_hash(key) * 7) %
	    WAIT_BUCKETS);
}

/*
 * Takes one token from the query budget; returns false when it is empty.
 */
bool
claim_client_take_query_token(struct claim_client *c)
{
	uint64_t now_us = clock_monotonic_us();
	bool may;

	pthread_mutex_lock(&c->lock);
	c->query_tokens +=
	    queries_per_s * (double)(now_us - c->query_tokens_us) / US_PER_S;
	if (c->query_tokens > queries_per_s)
		c->query_tokens = queries_per_s;
	c->query_tokens_us = now_us;
	may = c->query_tokens >= 1;
	if (may)
		c->query_tokens -= 1;
	pthread_mutex_unlock(&c->lock);
	return may;
}

/*
 * Proposes to open the claim and waits for the result until the attempt's next
 * step is due.  On STATUS_OK the caller frees the answer with
 * link_result_free().
 */
static enum status
propose_open(struct claim_client *c, const struct claim_submission *submission,
    Wire__Result **answer)
{
	const struct claim_client_call *call = &submission->call;
	struct key_text text = key_text(c, &call->key);
	char *route = str_dup(call->route);
	uint8_t digest[CLAIM_DIGEST_BYTES];
	Wire__ClaimOpen open = WIRE__CLAIM_OPEN__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	enum status status;

	memcpy(digest, call->digest, sizeof(digest));
	open.tenant = text.tenant;
	open.service = text.service;
	open.key = text.key;
	open.digest.data = digest;
	open.digest.len = sizeof(digest);
	open.holder = text.holder;
	open.holder_incarnation = c->incarnation;
	open.attempt = submission->number;
	open.retention_s = call->retention_s;
	open.claims_max = call->claims_max;
	open.route = route;
	command.body_case = WIRE__COMMAND__BODY_CLAIM_OPEN;
	command.claim_open = &open;
	status = link_propose(
	    c->link, &command, submission->attempt.next_us, answer);
	key_text_free(&text);
	mem_free(route);
	return status;
}

/* Decodes a verdict; one that this version doesn't know counts as unknown. */
static enum claim_verdict
verdict_from_wire(const Wire__ClaimResult *claim)
{
	switch (claim->verdict) {
	case WIRE__CLAIM_VERDICT__CLAIM_GRANTED:
		return CLAIM_VERDICT_GRANTED;
	case WIRE__CLAIM_VERDICT__CLAIM_IN_PROGRESS:
		return CLAIM_VERDICT_IN_PROGRESS;
	case WIRE__CLAIM_VERDICT__CLAIM_DONE:
		return CLAIM_VERDICT_DONE;
	case WIRE__CLAIM_VERDICT__CLAIM_DONE_NOT_KEPT:
		return CLAIM_VERDICT_DONE_NOT_KEPT;
	case WIRE__CLAIM_VERDICT__CLAIM_KEY_REUSED:
		return CLAIM_VERDICT_KEY_REUSED;
	case WIRE__CLAIM_VERDICT__CLAIM_LEDGER_FULL:
		return CLAIM_VERDICT_FULL;
	default:
		return CLAIM_VERDICT_UNKNOWN;
	}
}

/* Sleeps until a monotonic time (us); returns at once if it has passed. */
static void
sleep_until(uint64_t until_us)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us < until_us)
		clock_sleep_us(until_us - now_us);
}

/* Proposes the open once and advances the attempt with the result. */
static void
propose_open_once(struct claim_client *c, struct claim_submission *submission)
{
	Wire__Result *answer = NULL;
	enum status status = propose_open(c, submission, &answer);

	if (status != STATUS_OK || answer->status != STATUS_OK ||
	    answer->claim == NULL) {
		link_result_free(answer);
		sleep_until(submission->attempt.next_us);
		submission->step = claim_attempt_on_timer(
		    &submission->attempt, clock_monotonic_us());
		return;
	}
	submission->step = claim_attempt_on_open_result(&submission->attempt,
	    verdict_from_wire(answer->claim), clock_monotonic_us());
	if (submission->step.reply == CLAIM_REPLY_STORED)
		submission->replay = answer;
	else
		link_result_free(answer);
}

/*
 * Begins a submission with a new attempt number.
 */
void
claim_client_begin(struct claim_client *c, struct claim_submission *submission)
{
	submission->number = atomic_fetch_add(&c->attempts, 1) + 1;
	submission->replay = NULL;
	submission->step = claim_attempt_start(&submission->attempt,
	    &(struct claim_attempt_params){
		.deadline_us = submission->call.deadline_us,
		.resend_us = resend_interval_us,
		.poll_us = wait_poll_us,
	    },
	    clock_monotonic_us());
}

/*
 * Proposes the open, once, unless there is a verdict already or the attempt has
 * given up.
 */
enum claim_decision
claim_client_open(struct claim_client *c, struct claim_submission *submission)
{
	if (submission->step.propose_open)
		propose_open_once(c, submission);
	if (submission->step.propose_open)
		return CLAIM_DECISION_UNANSWERED;
	if (submission->step.send) {
		counter_add(c->granted, 1);
		return CLAIM_DECISION_RUN;
	}
	if (submission->step.reply == CLAIM_REPLY_STORED) {
		counter_add(c->replayed, 1);
		return CLAIM_DECISION_REPLAY;
	}
	if (submission->attempt.state == CLAIM_ATTEMPT_WAITING)
		return CLAIM_DECISION_WAIT;
	return CLAIM_DECISION_REFUSE;
}

/*
 * Waits for the end of the running attempt, or until the next poll is due.
 */
void
claim_client_wait(struct claim_client *c, struct claim_submission *submission)
{
	const struct claim_key *key = &submission->call.key;
	unsigned bucket = wait_bucket(key->tenant, key->service, key->key);
	uint64_t until_us = submission->attempt.next_us;
	bool ended;

	counter_add(c->waited, 1);
	pthread_mutex_lock(&c->lock);
	ended = condition_wait(&c->ended[bucket], &c->lock, until_us);
	pthread_mutex_unlock(&c->lock);
	if (ended && clock_monotonic_us() < submission->call.deadline_us)
		submission->step = claim_attempt_on_key_released(
		    &submission->attempt, clock_monotonic_us());
	else {
		sleep_until(until_us);
		submission->step = claim_attempt_on_timer(
		    &submission->attempt, clock_monotonic_us());
	}
}

/*
 * Wakes the calls that wait for a claim.
 */
void
claim_client_on_ended(struct claim_client *c, struct str tenant,
    struct str service, struct str key)
{
	pthread_mutex_lock(&c->lock);
	pthread_cond_broadcast(&c->ended[wait_bucket(tenant, service, key)]);
	pthread_mutex_unlock(&c->lock);
}

/* Adds an end to the pending list, which takes ownership. */
static void
add_pending_end(struct claim_client *c, struct pending_end *end)
{
	pthread_mutex_lock(&c->lock);
	end->next = c->pending;
	c->pending = end;
	pthread_mutex_unlock(&c->lock);
	counter_add(c->pending_count, 1);
}

/*
 * Queues a copy of an end to be proposed at due_us, and once more after that
 * if repeat is set.
 */
static void
queue_end(struct claim_client *c, const Wire__Command *command, uint64_t due_us,
    bool repeat)
{
	struct pending_end *end = mem_calloc(1, sizeof(*end));

	end->due_us = due_us;
	end->repeat = repeat;
	end->len = wire__command__get_packed_size(command);
	end->packed = mem_alloc(end->len);
	wire__command__pack(command, end->packed);
	add_pending_end(c, end);
}

/*
 * Proposes an end.  Returns true once control has answered with any result:
 * the end is then durable or no longer needed.
 */
static bool
propose_end(struct claim_client *c, const Wire__Command *command)
{
	Wire__Result *answer = NULL;
	enum status status = link_propose(
	    c->link, command, clock_monotonic_us() + end_timeout_us, &answer);

	if (status == STATUS_OK)
		link_result_free(answer);
	return status == STATUS_OK;
}

/* Encodes an ending. */
static Wire__ClaimEnding
wire_ending(enum claim_ending ending)
{
	switch (ending) {
	case CLAIM_ENDED_ANSWERED:
		return WIRE__CLAIM_ENDING__CLAIM_ANSWERED;
	case CLAIM_ENDED_NOT_RUN:
		return WIRE__CLAIM_ENDING__CLAIM_NOT_RUN;
	case CLAIM_ENDED_UNKNOWN:
		break;
	}
	return WIRE__CLAIM_ENDING__CLAIM_UNKNOWN;
}

/*
 * Proposes an end and queues it if that fails.  The end of a claim that was
 * not run is proposed a second time after late_open_us.
 */
static void
end_or_queue(struct claim_client *c, const Wire__Command *command, bool not_run)
{
	uint64_t now_us;
	bool done = propose_end(c, command);

	now_us = clock_monotonic_us();
	if (!done)
		queue_end(c, command, now_us, not_run);
	else if (not_run)
		queue_end(c, command, now_us + late_open_us, false);
}

/*
 * Ends the claim with the attempt's ending.  The caller has already been
 * answered.
 */
void
claim_client_end(struct claim_client *c, struct claim_submission *submission,
    const struct claim_answer *answer)
{
	bool not_run = submission->attempt.ending == CLAIM_ENDED_NOT_RUN;
	struct key_text text;
	char *type = NULL;
	char *body = NULL;
	Wire__ClaimEnd end = WIRE__CLAIM_END__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;

	if (!submission->step.propose_end)
		return;
	text = key_text(c, &submission->call.key);
	end.tenant = text.tenant;
	end.service = text.service;
	end.key = text.key;
	end.holder = text.holder;
	end.holder_incarnation = c->incarnation;
	end.attempt = submission->number;
	end.ending = wire_ending(submission->attempt.ending);
	if (answer != NULL) {
		type = str_dup(answer->content_type);
		end.http_status = answer->http_status;
		end.content_type = type;
		end.answer_kept = answer->kept;
	}
	if (answer != NULL && answer->kept) {
		body = str_dup(answer->body);
		end.answer.data = (uint8_t *)body;
		end.answer.len = answer->body.len;
	}
	command.body_case = WIRE__COMMAND__BODY_CLAIM_END;
	command.claim_end = &end;
	end_or_queue(c, &command, not_run);
	key_text_free(&text);
	mem_free(type);
	mem_free(body);
}

/* Removes a pending end that is due; the caller frees it.  NULL for none. */
static struct pending_end *
pop_due_end(struct claim_client *c, uint64_t now_us)
{
	struct pending_end **link;
	struct pending_end *end;

	pthread_mutex_lock(&c->lock);
	link = &c->pending;
	while (*link != NULL && (*link)->due_us > now_us)
		link = &(*link)->next;
	end = *link;
	if (end != NULL)
		*link = end->next;
	pthread_mutex_unlock(&c->lock);
	if (end != NULL)
		counter_add(c->pending_count, -1);
	return end;
}

/* Proposes a pending end; true when it is finished. */
static bool
flush_end(struct claim_client *c, struct pending_end *end)
{
	Wire__Command *command =
	    wire__command__unpack(NULL, end->len, end->packed);
	bool done = command == NULL || propose_end(c, command);

	wire__command__free_unpacked(command, NULL);
	if (done && !end->repeat)
		return true;
	end->due_us =
	    clock_monotonic_us() + (done ? late_open_us : resend_interval_us);
	if (done)
		end->repeat = false;
	return false;
}

/*
 * Proposes the pending ends that are due.  Returns how many remain.
 */
unsigned
claim_client_flush(struct claim_client *c, uint64_t now_us)
{
	struct pending_end *end;

	while ((end = pop_due_end(c, now_us)) != NULL) {
		if (!flush_end(c, end)) {
			add_pending_end(c, end);
			continue;
		}
		mem_free(end->packed);
		mem_free(end);
	}
	return (unsigned)counter_get(c->pending_count);
}
