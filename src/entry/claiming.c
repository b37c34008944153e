#include "entry/claiming.h"

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

/* First pause before a proposal without an answer is made again. */
static const uint64_t resend_us = 500 * US_PER_MS;
static const uint64_t end_timeout_us = 2 * US_PER_S;
/* A lost message about an ended claim is made up for by asking again. */
static const uint64_t wait_poll_us = 500 * US_PER_MS;
/* A copy of an open may come to control so long after its end. */
static const uint64_t linger_us = 20 * US_PER_S;
/* Calls turned away that may ask their claim: a bound on control's load. */
static const double asks_per_s = 50;

/*
 * An end that is not durable yet, or is to be proposed once more since a
 * late copy of the open may have been granted after it.
 */
struct kept_end {
	struct kept_end *next;
	uint64_t due_us;
	bool again; /* after this one */
	uint8_t *packed;
	size_t len;
};

struct claiming {
	const char *entry;
	uint64_t incarnation;
	struct link *link;
	_Atomic uint64_t attempts;
	pthread_mutex_t lock;
	pthread_cond_t ended[WAIT_BUCKETS];
	struct kept_end *kept;
	double asks; /* tokens, up to asks_per_s */
	uint64_t asks_us; /* when they were last counted */
	struct counter *opened;
	struct counter *replayed;
	struct counter *waited;
	struct counter *kept_count;
};

/* Registers a counter without labels. */
static struct counter *
total(const char *name, const char *help)
{
	return counter_register(COUNTER_TOTAL, name, help, NULL);
}

/*
 * Makes the entry's side of claims; entry outlives it.
 */
struct claiming *
claiming_new(const char *entry, uint64_t incarnation)
{
	struct claiming *c = mem_calloc(1, sizeof(*c));

	c->entry = entry;
	c->incarnation = incarnation;
	pthread_mutex_init(&c->lock, NULL);
	for (unsigned i = 0; i < WAIT_BUCKETS; i++)
		condition_init(&c->ended[i]);
	c->opened = total("gypsummill_entry_claims_granted_total",
	    "Claims granted to this entry (count)");
	c->replayed = total("gypsummill_entry_claims_replayed_total",
	    "Calls answered with a kept answer (count)");
	c->waited = total("gypsummill_entry_claims_waited_total",
	    "Waits for another attempt's end (count)");
	c->kept_count =
	    counter_register(COUNTER_GAUGE, "gypsummill_entry_claim_ends_kept",
		"Ends of claims that are not durable yet (count)", NULL);
	return c;
}

/*
 * Releases it; ends that are still kept are lost, and control will end
 * their claims as unknown.
 */
void
claiming_free(struct claiming *c)
{
	if (c == NULL)
		return;
	while (c->kept != NULL) {
		struct kept_end *end = c->kept;

		c->kept = end->next;
		mem_free(end->packed);
		mem_free(end);
	}
	for (unsigned i = 0; i < WAIT_BUCKETS; i++)
		pthread_cond_destroy(&c->ended[i]);
	pthread_mutex_destroy(&c->lock);
	mem_free(c);
}

/*
 * Gives it the link to control.
 */
void
claiming_set_link(struct claiming *c, struct link *link)
{
	c->link = link;
}

/* protobuf-c wants C strings. */
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
key_text(const struct claiming *c, const struct claim_key *key)
{
	return (struct key_text){.tenant = str_dup(key->tenant),
	    .service = str_dup(key->service),
	    .key = str_dup(key->key),
	    .holder = str_dup(str_from(c->entry))};
}

/* Frees the copies that key_text() made. */
static void
key_text_free(struct key_text *text)
{
	mem_free(text->tenant);
	mem_free(text->service);
	mem_free(text->key);
	mem_free(text->holder);
}

/*
 * Returns the bucket that waiters for a claim share with those of others; a
 * wake-up may be meant for another claim.
 */
static unsigned
bucket_of(struct str tenant, struct str service, struct str key)
{
	return (unsigned)((str_hash(tenant) ^ str_hash(service) * 3 ^
			      str_hash(key) * 7) %
	    WAIT_BUCKETS);
}

/*
 * Takes one ask from the budget, or returns false.
 */
bool
claiming_may_ask(struct claiming *c)
{
	uint64_t now_us = clock_monotonic_us();
	bool may;

	pthread_mutex_lock(&c->lock);
	c->asks += asks_per_s * (double)(now_us - c->asks_us) / US_PER_S;
	if (c->asks > asks_per_s)
		c->asks = asks_per_s;
	c->asks_us = now_us;
	may = c->asks >= 1;
	if (may)
		c->asks -= 1;
	pthread_mutex_unlock(&c->lock);
	return may;
}

/*
 * Proposes to open the claim and waits for control until the attempt's next
 * step is due.  With STATUS_OK the caller owns the answer
 * (link_result_free()).
 */
static enum status
propose_open(
    struct claiming *c, const struct claiming_tap *tap, Wire__Result **answer)
{
	const struct claiming_call *call = &tap->call;
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
	open.attempt = tap->number;
	open.retention_s = call->retention_s;
	open.claims_max = call->claims_max;
	open.route = route;
	command.body_case = WIRE__COMMAND__BODY_CLAIM_OPEN;
	command.claim_open = &open;
	status = link_propose(c->link, &command, tap->attempt.next_us, answer);
	key_text_free(&text);
	mem_free(route);
	return status;
}

/* Returns the verdict; one that this version does not know is unknown. */
static enum claim_verdict
verdict_of(const Wire__ClaimResult *claim)
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

/* Sleeps until a time of the monotonic clock (us); not at all when past. */
static void
sleep_until(uint64_t until_us)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us < until_us)
		clock_sleep_us(until_us - now_us);
}

/* Proposes the open once and takes what came of it. */
static void
open_once(struct claiming *c, struct claiming_tap *tap)
{
	Wire__Result *answer = NULL;
	enum status status = propose_open(c, tap, &answer);

	if (status != STATUS_OK || answer->status != STATUS_OK ||
	    answer->claim == NULL) {
		link_result_free(answer);
		sleep_until(tap->attempt.next_us);
		tap->step =
		    claim_attempt_on_timer(&tap->attempt, clock_monotonic_us());
		return;
	}
	tap->step = claim_attempt_on_open_result(
	    &tap->attempt, verdict_of(answer->claim), clock_monotonic_us());
	if (tap->step.reply == CLAIM_REPLY_STORED)
		tap->kept = answer;
	else
		link_result_free(answer);
}

/*
 * Begins an attempt under a number of its own.
 */
void
claiming_begin(struct claiming *c, struct claiming_tap *tap)
{
	tap->number = atomic_fetch_add(&c->attempts, 1) + 1;
	tap->kept = NULL;
	tap->step = claim_attempt_start(&tap->attempt,
	    &(struct claim_attempt_params){
		.deadline_us = tap->call.deadline_us,
		.resend_us = resend_us,
		.poll_us = wait_poll_us,
	    },
	    clock_monotonic_us());
}

/*
 * Asks for the claim until there is a verdict.
 */
enum claiming_verdict
claiming_open(struct claiming *c, struct claiming_tap *tap)
{
	while (tap->step.propose_open)
		open_once(c, tap);
	if (tap->step.send) {
		counter_add(c->opened, 1);
		return CLAIMING_RUN;
	}
	if (tap->step.reply == CLAIM_REPLY_STORED) {
		counter_add(c->replayed, 1);
		return CLAIMING_KEPT;
	}
	if (tap->attempt.state == CLAIM_ATTEMPT_WAITING)
		return CLAIMING_WAIT;
	return CLAIMING_REFUSED;
}

/*
 * Waits for the end of the attempt that runs, or for the time to ask.
 */
void
claiming_wait(struct claiming *c, struct claiming_tap *tap)
{
	const struct claim_key *key = &tap->call.key;
	unsigned bucket = bucket_of(key->tenant, key->service, key->key);
	uint64_t until_us = tap->attempt.next_us;
	bool ended;

	counter_add(c->waited, 1);
	pthread_mutex_lock(&c->lock);
	ended = condition_wait(&c->ended[bucket], &c->lock, until_us);
	pthread_mutex_unlock(&c->lock);
	if (ended && clock_monotonic_us() < tap->call.deadline_us)
		tap->step = claim_attempt_on_key_released(
		    &tap->attempt, clock_monotonic_us());
	else {
		sleep_until(until_us);
		tap->step =
		    claim_attempt_on_timer(&tap->attempt, clock_monotonic_us());
	}
}

/*
 * Wakes the calls that wait for a claim.
 */
void
claiming_ended(
    struct claiming *c, struct str tenant, struct str service, struct str key)
{
	pthread_mutex_lock(&c->lock);
	pthread_cond_broadcast(&c->ended[bucket_of(tenant, service, key)]);
	pthread_mutex_unlock(&c->lock);
}

/* Puts an end among the kept ones, which then own it. */
static void
push_end(struct claiming *c, struct kept_end *end)
{
	pthread_mutex_lock(&c->lock);
	end->next = c->kept;
	c->kept = end;
	pthread_mutex_unlock(&c->lock);
	counter_add(c->kept_count, 1);
}

/*
 * Keeps a copy of an end to be proposed at due_us; again: and once more after
 * that.
 */
static void
keep_end(struct claiming *c, const Wire__Command *command, uint64_t due_us,
    bool again)
{
	struct kept_end *end = mem_calloc(1, sizeof(*end));

	end->due_us = due_us;
	end->again = again;
	end->len = wire__command__get_packed_size(command);
	end->packed = mem_alloc(end->len);
	wire__command__pack(command, end->packed);
	push_end(c, end);
}

/*
 * Proposes an end; true once control has answered, whatever it said: the end
 * is then durable or no longer wanted.
 */
static bool
propose_end(struct claiming *c, const Wire__Command *command)
{
	Wire__Result *answer = NULL;
	enum status status = link_propose(
	    c->link, command, clock_monotonic_us() + end_timeout_us, &answer);

	if (status == STATUS_OK)
		link_result_free(answer);
	return status == STATUS_OK;
}

/* Returns an ending as the messages have it. */
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

/* Proposes an end now; keeps it when that fails, or when it lingers. */
static void
end_or_keep(struct claiming *c, const Wire__Command *command, bool not_run)
{
	uint64_t now_us;
	bool done = propose_end(c, command);

	now_us = clock_monotonic_us();
	if (!done)
		keep_end(c, command, now_us, not_run);
	else if (not_run)
		keep_end(c, command, now_us + linger_us, false);
}

/*
 * Ends the claim as the attempt says.  The caller has been told already.
 */
void
claiming_close(struct claiming *c, struct claiming_tap *tap,
    const struct claim_answer *answer)
{
	bool not_run = tap->attempt.ending == CLAIM_ENDED_NOT_RUN;
	struct key_text text;
	char *type = NULL;
	char *body = NULL;
	Wire__ClaimEnd end = WIRE__CLAIM_END__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;

	if (!tap->step.propose_end)
		return;
	text = key_text(c, &tap->call.key);
	end.tenant = text.tenant;
	end.service = text.service;
	end.key = text.key;
	end.holder = text.holder;
	end.holder_incarnation = c->incarnation;
	end.attempt = tap->number;
	end.ending = wire_ending(tap->attempt.ending);
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
	end_or_keep(c, &command, not_run);
	key_text_free(&text);
	mem_free(type);
	mem_free(body);
}

/* Takes one kept end that is due, which the caller then owns; NULL for none. */
static struct kept_end *
take_due(struct claiming *c, uint64_t now_us)
{
	struct kept_end **link;
	struct kept_end *end;

	pthread_mutex_lock(&c->lock);
	link = &c->kept;
	while (*link != NULL && (*link)->due_us > now_us)
		link = &(*link)->next;
	end = *link;
	if (end != NULL)
		*link = end->next;
	pthread_mutex_unlock(&c->lock);
	if (end != NULL)
		counter_add(c->kept_count, -1);
	return end;
}

/* Proposes a kept end; true when it is done with. */
static bool
flush_one(struct claiming *c, struct kept_end *end)
{
	Wire__Command *command =
	    wire__command__unpack(NULL, end->len, end->packed);
	bool done = command == NULL || propose_end(c, command);

	wire__command__free_unpacked(command, NULL);
	if (done && !end->again)
		return true;
	end->due_us = clock_monotonic_us() + (done ? linger_us : resend_us);
	if (done)
		end->again = false;
	return false;
}

/*
 * Tries to make the kept ends that are due durable.
 */
unsigned
claiming_flush(struct claiming *c, uint64_t now_us)
{
	struct kept_end *end;

	while ((end = take_due(c, now_us)) != NULL) {
		if (!flush_one(c, end)) {
			push_end(c, end);
			continue;
		}
		mem_free(end->packed);
		mem_free(end);
	}
	return (unsigned)counter_get(c->kept_count);
}
