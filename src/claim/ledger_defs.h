/*
 * Definitions shared by the source files of the claim ledger.  Every list of
 * claims is in the order of the commands that filled it, so that two replicas
 * that applied the same commands, or loaded the same snapshot, behave and save
 * alike.
 */
#ifndef CLAIM_LEDGER_DEFS_H
#define CLAIM_LEDGER_DEFS_H

#include <glib.h>
#include <urcu/list.h>

#include "claim/ledger.h"

enum claim_state {
	CLAIM_STATE_OPEN,
	CLAIM_STATE_DONE,
	CLAIM_STATE_UNKNOWN,
	CLAIM_STATE_RELEASED /* not run; fences the attempt that ended it */
};

struct claim_service {
	struct str name; /* bytes follow this struct */
	uint32_t index; /* index in the ledger's services */
	uint64_t claims; /* open, done and unknown */
	uint64_t fences; /* claims in state released */
	uint64_t answer_bytes;
	struct cds_list_head ended; /* done and unknown, oldest first */
	struct cds_list_head released; /* oldest first */
	struct cds_list_head answered; /* with stored answer, oldest first */
};

/* An entry that holds open claims. */
struct claim_entry {
	struct str name; /* bytes follow this struct */
	uint64_t open;
	struct cds_list_head claims; /* oldest first */
	struct cds_list_head node; /* in claim_ledger.entries */
};

struct claim_stored_answer {
	uint32_t http_status;
	bool kept;
	uint32_t content_type_len;
	uint32_t body_len;
	char bytes[]; /* content type followed by body */
};

struct claim {
	struct claim_service *service;
	struct claim_entry *entry; /* only while open, else NULL */
	struct cds_list_head node; /* in entry, ended or released */
	struct cds_list_head age_node; /* in open or answered, else empty */
	struct claim_stored_answer *answer; /* only if done, else NULL */
	char *fence_entry; /* released: entry of the fenced attempt */
	uint64_t incarnation;
	uint64_t attempt;
	uint64_t retention_us;
	uint64_t expires_us; /* open: unknown from then on; else removed */
	uint32_t hash;
	uint32_t tenant_len;
	uint32_t key_len;
	uint8_t state; /* enum claim_state */
	bool has_digest; /* false: fenced before it was opened */
	uint8_t digest[CLAIM_DIGEST_BYTES];
	/* The bytes of the tenant, then of the key, follow this struct. */
};

struct claim_ledger {
	uint64_t now_us; /* latest time of any command */
	uint64_t bytes;
	uint64_t answer_bytes;
	uint64_t claims; /* open, done and unknown */
	uint32_t sweep; /* index of the service to expire next */
	GHashTable *table; /* set of struct claim */
	GHashTable *services_by_name; /* set of struct claim_service */
	GPtrArray *services; /* by claim_service.index */
	GHashTable *entries_by_name; /* set of struct claim_entry */
	struct cds_list_head entries;
	struct cds_list_head open; /* all open claims, oldest first */
};

/* ledger_index.c */
void claim_index_init(struct claim_ledger *ledger) ATTR_NONNULL_ALL;
void claim_index_free(struct claim_ledger *ledger) ATTR_NONNULL_ALL;
struct claim *claim_index_find(const struct claim_ledger *ledger,
    const struct claim_key *key) ATTR_NONNULL_ALL;
struct claim *claim_index_add(
    struct claim_ledger *ledger, const struct claim_key *key) ATTR_NONNULL_ALL;
void claim_index_remove(
    struct claim_ledger *ledger, struct claim *claim) ATTR_NONNULL_ALL;
struct claim_service *claim_index_service(
    struct claim_ledger *ledger, struct str name, bool create) ATTR_NONNULL_ALL;
void claim_index_remove_unused_service(struct claim_ledger *ledger,
    struct claim_service *service) ATTR_NONNULL_ALL;
struct claim_entry *claim_index_entry(
    struct claim_ledger *ledger, struct str name, bool create) ATTR_NONNULL_ALL;
void claim_index_set_open(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_holder *holder, uint64_t expires_us) ATTR_NONNULL_ALL;
void claim_index_set_ended(struct claim_ledger *ledger, struct claim *claim,
    enum claim_state state, uint64_t expires_us) ATTR_NONNULL_ALL;
void claim_index_set_released(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_holder *holder, uint64_t expires_us) ATTR_NONNULL_ALL;
void claim_index_set_answer(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_answer *answer) ATTR_NONNULL_ALL;
void claim_index_discard_answer(
    struct claim_ledger *ledger, struct claim *claim) ATTR_NONNULL_ALL;

static inline struct claim_key
claim_key_of(const struct claim *claim)
{
	const char *bytes = (const char *)(claim + 1);

	return (struct claim_key){
	    .tenant = str_of(bytes, claim->tenant_len),
	    .service = claim->service->name,
	    .key = str_of(bytes + claim->tenant_len, claim->key_len),
	};
}

#endif
