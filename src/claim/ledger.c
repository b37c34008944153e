#include "claim/ledger.h"

#include <string.h>

#include "base/clock.h"
#include "base/memory.h"
#include "claim/ledger_defs.h"

enum {
	EXPIRE_OWN_SERVICE_MAX =
	    8, /* claims expired per command, of its service */
	EXPIRE_OTHER_SERVICE_MAX =
	    8, /* and of one other service, in rotation */
	FENCE_LIFETIME_S = 600, /* lifetime of a fence */
	OPEN_MAX_S = 3600, /* when an open claim becomes unknown */
	FENCES_MAX = 16384, /* per service */
	ANSWERS_MAX_BYTES = 24 * 1024 * 1024 /* total size of stored answers */
};

/*
 * Returns an empty ledger at time 0; free it with claim_ledger_free().
 */
struct claim_ledger *
claim_ledger_new(void)
{
	struct claim_ledger *ledger = mem_alloc(sizeof(*ledger));

	claim_index_init(ledger);
	return ledger;
}

/*
 * Frees a ledger and all its claims; does nothing if it is NULL.
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
 * Removes up to max expired claims from the head of a list, oldest first.
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
 * Removes up to max expired ended claims of a service and up to max of its
 * expired fences.
 */
static void
expire(struct claim_ledger *ledger, struct claim_service *service, unsigned max)
{
	expire_list(ledger, &service->ended, max);
	expire_list(ledger, &service->released, max);
}

/*
 * Ends a claim as unknown.  That is safe at any time, since the claim is not
 * granted again within its retention.
 */
static void
end_unknown(struct claim_ledger *ledger, struct claim *claim)
{
	claim_index_set_ended(ledger, claim, CLAIM_STATE_UNKNOWN,
	    ledger->now_us + claim->retention_us);
}

/*
 * Ends the claims that have been open for too long: their holders are alive
 * but have no record of them.
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
 * Advances the ledger's time and expires a bounded number of claims: of the
 * command's own service, and of one other in rotation, so that claims of an
 * idle service expire too.
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
 * Returns a key's claim, or NULL if there is none; removes it if it has
 * expired.
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
 * Returns whether an attempt holds an open claim, or released a fenced one.
 * Claims in other states store no holder.
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
 * Returns the answer of a done claim.  Its strings belong to the claim and are
 * valid until the ledger changes.
 */
static struct claim_answer
stored_answer(const struct claim_stored_answer *stored)
{
	return (struct claim_answer){
	    .http_status = stored->http_status,
	    .content_type = str_of(stored->bytes, stored->content_type_len),
	    .body = str_of(
		stored->bytes + stored->content_type_len, stored->body_len),
	    .kept = stored->kept,
	};
}

/*
 * Returns the verdict on an open whose key is already claimed.
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
 * Claims a key for an attempt.  A resend by the attempt that holds the key is
 * granted again; one by an attempt that ended as not run is not.  Another
 * digest is refused even after "not run", as long as the fence exists:
 * otherwise two submissions with the other body could get contradictory
 * replies.
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
 * Returns whether the stored answers of a service exceed an equal share of the
 * total limit.
 */
static bool
exceeds_answer_share(
    const struct claim_ledger *ledger, const struct claim_service *service)
{
	return service->answer_bytes >
	    (uint64_t)ANSWERS_MAX_BYTES / ledger->services->len;
}

/*
 * Discards stored answers, oldest first, while their total size exceeds the
 * limit: those of the given service if it exceeds its share, else of the first
 * service that does.
 */
static void
enforce_answer_limit(struct claim_ledger *ledger, struct claim_service *service)
{
	for (guint i = 0; ledger->answer_bytes > ANSWERS_MAX_BYTES;) {
		if (!exceeds_answer_share(ledger, service) ||
		    cds_list_empty(&service->answered)) {
			if (i == ledger->services->len)
				return;
			service = g_ptr_array_index(ledger->services, i++);
			continue;
		}
		claim_index_discard_answer(ledger,
		    cds_list_first_entry(
			&service->answered, struct claim, age_node));
	}
}

/*
 * Fences an attempt that ended as not run, so that an open by it that arrives
 * later is not granted.  Above FENCES_MAX the oldest fence is removed.
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
 * Ends a claim on behalf of its holder.  "Not run" for a key that nobody holds
 * fences the attempt and is accepted; any other end by an attempt that does
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
 * Ends the open claims of a lost entry as unknown, since it may have sent
 * them.  Returns their number.
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
 * Calls visit() for each entry with open claims, with the lowest incarnation
 * among them.
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
 * Returns the number of open, done and unknown claims.
 */
uint64_t
claim_ledger_count(const struct claim_ledger *ledger)
{
	return ledger->claims;
}

/*
 * Returns the memory in use in bytes.
 */
uint64_t
claim_ledger_bytes(const struct claim_ledger *ledger)
{
	return sizeof(*ledger) + ledger->bytes;
}
