#include "claim/ledger.h"

#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "claim/ledger_defs.h"

enum {
	EXPIRE_OWN_SERVICE_MAX =
	    8, /* claims forgotten a command, of its service */
	EXPIRE_OTHER_SERVICE_MAX = 8, /* and of one other service in turn */
	FENCE_LIFETIME_S = 600, /* life of a fence */
	OPEN_MAX_S = 3600, /* an open claim is unknown from then on */
	FENCES_MAX = 16384, /* of one service */
	ANSWERS_MAX_BYTES = 24 * 1024 * 1024 /* of all kept answers */
};

/*
 * Makes an empty ledger at time 0; claim_ledger_free() releases it.
 */
struct claim_ledger *
claim_ledger_new(void)
{
	struct claim_ledger *ledger = mem_alloc(sizeof(*ledger));

	claim_index_init(ledger);
	return ledger;
}

/*
 * Releases a ledger and all its claims; NULL is let pass.
 */
void
claim_ledger_free(struct claim_ledger *ledger)
{
	if (ledger == NULL)
		return;
	claim_index_free(ledger);
	mem_free(ledger);
}

/*
 * Forgets up to max of a list's oldest claims that are past their time.
 */
static void
expire_list(
    struct claim_ledger *ledger, struct cds_list_head *list, unsigned max)
{
	while (max-- > 0 && !cds_list_empty(list)) {
		struct claim *claim =
		    cds_list_first_entry(list, struct claim, node);

		if (claim->expires_us > ledger->now_us)
			return;
		claim_index_remove(ledger, claim);
	}
}

/*
 * Forgets up to max ended claims of a service and up to max of its fences.
 */
static void
expire(struct claim_ledger *ledger, struct claim_service *service, unsigned max)
{
	expire_list(ledger, &service->ended, max);
	expire_list(ledger, &service->released, max);
}

/*
 * Ends a claim as unknown, which is safe at any time: it is never granted
 * again inside its retention.
 */
static void
end_unknown(struct claim_ledger *ledger, struct claim *claim)
{
	claim_index_set_ended(ledger, claim, CLAIM_STATE_UNKNOWN,
	    ledger->now_us + claim->retention_us);
}

/*
 * Ends the claims that have been open for too long: their holders live, and
 * yet don't know of them.
 */
static void
end_overdue_claims(struct claim_ledger *ledger)
{
	while (!cds_list_empty(&ledger->open)) {
		struct claim *claim =
		    cds_list_first_entry(&ledger->open, struct claim, age_node);

		if (claim->expires_us > ledger->now_us)
			return;
		end_unknown(ledger, claim);
	}
}

/*
 * Moves the ledger's time on and forgets a bounded number of claims: of the
 * command's own service, and of one other in turn so that an idle service's
 * claims go too.
 */
static void
advance_time(struct claim_ledger *ledger, struct str name, uint64_t time_us)
{
	struct claim_service *service;

	if (time_us > ledger->now_us)
		ledger->now_us = time_us;
	end_overdue_claims(ledger);
	service = claim_index_service(ledger, name, false);
	if (service != NULL)
		expire(ledger, service, EXPIRE_OWN_SERVICE_MAX);
	if (ledger->services->len == 0)
		return;
	ledger->sweep = (ledger->sweep + 1) % ledger->services->len;
	service = g_ptr_array_index(ledger->services, ledger->sweep);
	expire(ledger, service, EXPIRE_OTHER_SERVICE_MAX);
	claim_index_remove_unused_service(ledger, service);
}

/*
 * Finds a claim that is not past its time.
 */
static struct claim *
find_unexpired(struct claim_ledger *ledger, const struct claim_key *key)
{
	struct claim *claim = claim_index_find(ledger, key);

	if (claim == NULL || claim->expires_us > ledger->now_us)
		return claim;
	claim_index_remove(ledger, claim);
	return NULL;
}

/*
 * Returns whether an attempt is the one that holds an open claim, or that
 * released a fenced one.  Other states remember no holder.
 */
static bool
is_holder(const struct claim *claim, const struct claim_holder *holder)
{
	struct str entry = claim->entry != NULL ? claim->entry->name
						: str_from(claim->fence_entry);

	return claim->incarnation == holder->incarnation &&
	    claim->attempt == holder->attempt &&
	    str_equal(entry, holder->entry);
}

/*
 * Returns a done claim's answer.  Its bytes stay the claim's: they live until
 * the next change of the ledger.
 */
static struct claim_answer
stored_answer(const struct claim_stored_answer *kept)
{
	return (struct claim_answer){
	    .http_status = kept->http_status,
	    .content_type = str_of(kept->bytes, kept->content_type_len),
	    .body =
		str_of(kept->bytes + kept->content_type_len, kept->body_len),
	    .kept = kept->kept,
	};
}

/*
 * Says what an open finds when the key is claimed already.
 */
static enum claim_verdict
existing_claim_verdict(const struct claim *claim, const struct claim_open *open,
    struct claim_answer *answer)
{
	if (memcmp(claim->digest, open->digest, CLAIM_DIGEST_BYTES) != 0)
		return CLAIM_VERDICT_KEY_REUSED;
	if (claim->state == CLAIM_STATE_OPEN)
		return is_holder(claim, &open->holder)
		    ? CLAIM_VERDICT_GRANTED
		    : CLAIM_VERDICT_IN_PROGRESS;
	if (claim->state == CLAIM_STATE_UNKNOWN)
		return CLAIM_VERDICT_UNKNOWN;
	*answer = stored_answer(claim->answer);
	return answer->kept ? CLAIM_VERDICT_DONE : CLAIM_VERDICT_DONE_NOT_KEPT;
}

/*
 * Claims a key for an attempt.  A resend by the attempt that holds the key
 * is granted again; one of an attempt that has ended as not run is not.
 * Another digest is refused also after "not run", while that is remembered:
 * else two taps with the other body could be told different things.
 */
enum claim_verdict
claim_ledger_open(struct claim_ledger *ledger, const struct claim_open *open,
    struct claim_answer *answer)
{
	struct claim_service *service;
	struct claim *claim;

	*answer = (struct claim_answer){0};
	advance_time(ledger, open->key.service, open->time_us);
	claim = find_unexpired(ledger, &open->key);
	if (claim != NULL && claim->state != CLAIM_STATE_RELEASED)
		return existing_claim_verdict(claim, open, answer);
	if (claim != NULL && is_holder(claim, &open->holder))
		return CLAIM_VERDICT_UNKNOWN;
	if (claim != NULL && claim->has_digest &&
	    memcmp(claim->digest, open->digest, CLAIM_DIGEST_BYTES) != 0)
		return CLAIM_VERDICT_KEY_REUSED;
	service = claim_index_service(ledger, open->key.service, false);
	if ((service != NULL ? service->claims : 0) >= open->claims_max)
		return CLAIM_VERDICT_FULL;
	if (claim == NULL)
		claim = claim_index_add(ledger, &open->key);
	memcpy(claim->digest, open->digest, CLAIM_DIGEST_BYTES);
	claim->has_digest = true;
	claim->retention_us = open->retention_us;
	claim_index_set_open(ledger, claim, &open->holder,
	    ledger->now_us + OPEN_MAX_S * US_PER_S);
	return CLAIM_VERDICT_GRANTED;
}

/*
 * Returns whether a service's kept answers take more than an equal part of the
 * bytes allowed to all.
 */
static bool
exceeds_answer_share(
    const struct claim_ledger *ledger, const struct claim_service *service)
{
	return service->answer_bytes >
	    (uint64_t)ANSWERS_MAX_BYTES / ledger->services->len;
}

/*
 * Drops kept answers, oldest first, while there are too many bytes of them:
 * of the service that ended a claim when it has more than its part, else of
 * the first that has.
 */
static void
enforce_answer_limit(struct claim_ledger *ledger, struct claim_service *service)
{
	for (guint i = 0; ledger->answer_bytes > ANSWERS_MAX_BYTES;) {
		if (!exceeds_answer_share(ledger, service) ||
		    cds_list_empty(&service->kept)) {
			if (i == ledger->services->len)
				return;
			service = g_ptr_array_index(ledger->services, i++);
			continue;
		}
		claim_index_discard_answer(ledger,
		    cds_list_first_entry(
			&service->kept, struct claim, age_node));
	}
}

/*
 * Remembers that an attempt ended as not run, so that its open, should it
 * come later, is not granted.  The oldest fence makes room.
 */
static void
fence(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_holder *holder)
{
	struct claim_service *service = claim->service;

	claim_index_set_released(ledger, claim, holder,
	    ledger->now_us + FENCE_LIFETIME_S * US_PER_S);
	if (service->fences > FENCES_MAX)
		claim_index_remove(ledger,
		    cds_list_first_entry(
			&service->released, struct claim, node));
}

/*
 * Ends a claim on behalf of its holder.  "Not run" for a key that nobody
 * holds fences the attempt and is accepted; any other end by one that does
 * not hold the claim is refused.
 */
bool
claim_ledger_end(struct claim_ledger *ledger, const struct claim_end *end)
{
	struct claim *claim;

	advance_time(ledger, end->key.service, end->time_us);
	claim = find_unexpired(ledger, &end->key);
	if (claim == NULL || claim->state == CLAIM_STATE_RELEASED) {
		if (end->ending != CLAIM_ENDED_NOT_RUN)
			return false;
		if (claim == NULL)
			claim = claim_index_add(ledger, &end->key);
		fence(ledger, claim, &end->holder);
		return true;
	}
	if (claim->state != CLAIM_STATE_OPEN || !is_holder(claim, &end->holder))
		return false;
	if (end->ending == CLAIM_ENDED_NOT_RUN) {
		fence(ledger, claim, &end->holder);
		return true;
	}
	claim_index_set_ended(ledger, claim,
	    end->ending == CLAIM_ENDED_ANSWERED ? CLAIM_STATE_DONE
						: CLAIM_STATE_UNKNOWN,
	    ledger->now_us + claim->retention_us);
	if (end->ending == CLAIM_ENDED_ANSWERED) {
		claim_index_set_answer(ledger, claim, &end->answer);
		enforce_answer_limit(ledger, claim->service);
	}
	return true;
}

/*
 * Ends the open claims of a lost entry as unknown: it may have sent them.
 */
uint64_t
claim_ledger_end_entry_claims(struct claim_ledger *ledger, struct str entry,
    uint64_t incarnation, uint64_t time_us,
    void (*ended)(void *ctx, const struct claim_key *key), void *ctx)
{
	struct claim_entry *holder;
	struct claim *claim;
	struct claim *next;
	uint64_t count = 0;
	uint64_t remaining;

	if (time_us > ledger->now_us)
		ledger->now_us = time_us;
	end_overdue_claims(ledger);
	holder = claim_index_entry(ledger, entry, false);
	if (holder == NULL)
		return 0;
	remaining = holder->open;
	claim = cds_list_first_entry(&holder->claims, struct claim, node);
	for (; remaining > 0; remaining--, claim = next) {
		struct claim_key key = claim_key_of(claim);

		next = cds_list_first_entry(&claim->node, struct claim, node);
		if (claim->incarnation > incarnation)
			continue;
		end_unknown(ledger, claim);
		count++;
		if (ended != NULL)
			ended(ctx, &key);
	}
	return count;
}

/*
 * Visits the entries that hold open claims, with the lowest incarnation
 * that does.
 */
void
claim_ledger_for_each_holder(
    const struct claim_ledger *ledger, claim_holder_visitor *visit, void *ctx)
{
	const struct claim_entry *entry;

	cds_list_for_each_entry (entry, &ledger->entries, node) {
		const struct claim *claim;
		uint64_t lowest = UINT64_MAX;

		cds_list_for_each_entry (claim, &entry->claims, node) {
			/* cppcheck-suppress uninitvar */
			if (claim->incarnation < lowest)
				lowest = claim->incarnation;
		}
		visit(ctx, entry->name, lowest, entry->open);
	}
}

/*
 * Returns the claims that are kept: open, answered and unknown ones.
 */
uint64_t
claim_ledger_count(const struct claim_ledger *ledger)
{
	return ledger->claims;
}

/*
 * Returns the memory in use, in bytes.
 */
uint64_t
claim_ledger_bytes(const struct claim_ledger *ledger)
{
	return sizeof(*ledger) + ledger->bytes;
}
