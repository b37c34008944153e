#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"
#include "claim/ledger_defs.h"

enum {
	BLOCK_BYTES = 16, /* overhead of the allocator per block */
	SLOT_BYTES = 24 /* of a claim in the hash table, at half load */
};

/* A key for a lookup in the table of claims. */
struct lookup_key {
	const struct claim_key *key;
	struct claim claim; /* only hash is set */
};

/*
 * Returns the key of a claim in the table, or of a lookup key, whose claim has
 * no service.
 */
static struct claim_key
key_of(const struct claim *claim)
{
	if (claim->service != NULL)
		return claim_key_of(claim);
	return *caa_container_of(claim, const struct lookup_key, claim)->key;
}

/*
 * Returns a hash of key, tenant and service.
 */
static uint32_t
key_hash(const struct claim_key *key)
{
	uint64_t hash = str_hash(key->key);

	hash = hash * 31 + str_hash(key->tenant);
	hash = hash * 31 + str_hash(key->service);
	return (uint32_t)(hash >> 32) ^ (uint32_t)hash;
}

/*
 * Hash function of the table of claims; the hash is stored in the claim.
 */
static guint
claim_hash(gconstpointer pointer)
{
	return ((const struct claim *)pointer)->hash;
}

/*
 * Returns whether two keys are equal in tenant, service and key.
 */
static bool
same_key(const struct claim_key *a, const struct claim_key *b)
{
	return str_equal(a->key, b->key) && str_equal(a->tenant, b->tenant) &&
	    str_equal(a->service, b->service);
}

/*
 * Comparison function of the table of claims; either claim may be that of a
 * lookup key.
 */
static gboolean
claim_equal(gconstpointer a, gconstpointer b)
{
	const struct claim *left = a;
	const struct claim *right = b;
	struct claim_key left_key;
	struct claim_key right_key;

	if (left->hash != right->hash)
		return FALSE;
	left_key = key_of(left);
	right_key = key_of(right);
	return same_key(&left_key, &right_key);
}

/*
 * Hash function of the table of services, by name.
 */
static guint
service_hash(gconstpointer pointer)
{
	return (guint)str_hash(((const struct claim_service *)pointer)->name);
}

/*
 * Comparison function of the table of services, by name.
 */
static gboolean
service_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(((const struct claim_service *)a)->name,
	    ((const struct claim_service *)b)->name);
}

/*
 * Hash function of the table of entries, by name.
 */
static guint
entry_hash(gconstpointer pointer)
{
	return (guint)str_hash(((const struct claim_entry *)pointer)->name);
}

/*
 * Comparison function of the table of entries, by name.
 */
static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(((const struct claim_entry *)a)->name,
	    ((const struct claim_entry *)b)->name);
}

/*
 * Frees a claim that is removed from the table, with its answer and fence.
 * The caller has updated lists and counters.
 */
static void
free_claim(gpointer pointer)
{
	struct claim *claim = pointer;

	mem_free(claim->answer);
	mem_free(claim->fence_entry);
	mem_free(claim);
}

/*
 * Initializes an empty index.
 */
void
claim_index_init(struct claim_ledger *ledger)
{
	*ledger = (struct claim_ledger){0};
	ledger->table =
	    g_hash_table_new_full(claim_hash, claim_equal, free_claim, NULL);
	ledger->services_by_name =
	    g_hash_table_new_full(service_hash, service_equal, mem_free, NULL);
	ledger->services = g_ptr_array_new();
	ledger->entries_by_name =
	    g_hash_table_new_full(entry_hash, entry_equal, mem_free, NULL);
	CDS_INIT_LIST_HEAD(&ledger->entries);
	CDS_INIT_LIST_HEAD(&ledger->open);
}

/*
 * Frees the index with its claims, services and entries, but not the ledger
 * itself.
 */
void
claim_index_free(struct claim_ledger *ledger)
{
	g_hash_table_destroy(ledger->table);
	g_ptr_array_free(ledger->services, TRUE);
	g_hash_table_destroy(ledger->services_by_name);
	g_hash_table_destroy(ledger->entries_by_name);
}

/*
 * Returns the claim of a key, expired or not, or NULL.  The ledger keeps
 * ownership.
 */
struct claim *
claim_index_find(const struct claim_ledger *ledger, const struct claim_key *key)
{
	struct lookup_key lookup_key = {
	    .claim.hash = key_hash(key), .key = key};

	return g_hash_table_lookup(ledger->table, &lookup_key.claim);
}

/*
 * Copies a name to the space after its struct and returns the copy.
 */
static struct str
copy_after_struct(void *space, struct str name)
{
	if (name.len > 0)
		memcpy(space, name.data, name.len);
	return str_of(space, name.len);
}

/*
 * Returns a service.  If there is none, appends it if create is set, else
 * returns NULL.
 */
struct claim_service *
claim_index_service(struct claim_ledger *ledger, struct str name, bool create)
{
	struct claim_service lookup_key = {.name = name};
	struct claim_service *service =
	    g_hash_table_lookup(ledger->services_by_name, &lookup_key);

	if (service != NULL || !create)
		return service;
	service = mem_calloc(1, sizeof(*service) + name.len);
	service->name = copy_after_struct(service + 1, name);
	service->index = ledger->services->len;
	CDS_INIT_LIST_HEAD(&service->ended);
	CDS_INIT_LIST_HEAD(&service->released);
	CDS_INIT_LIST_HEAD(&service->answered);
	g_ptr_array_add(ledger->services, service);
	g_hash_table_add(ledger->services_by_name, service);
	ledger->bytes += sizeof(*service) + name.len + BLOCK_BYTES;
	return service;
}

/*
 * Removes a service if it has no claims; the last service takes its index.
 */
void
claim_index_remove_unused_service(
    struct claim_ledger *ledger, struct claim_service *service)
{
	struct claim_service *last;

	if (service->claims > 0 || service->fences > 0)
		return;
	last = g_ptr_array_index(ledger->services, ledger->services->len - 1);
	last->index = service->index;
	g_ptr_array_remove_index_fast(ledger->services, service->index);
	ledger->bytes -= sizeof(*service) + service->name.len + BLOCK_BYTES;
	g_hash_table_remove(ledger->services_by_name, service);
}

/*
 * Returns an entry with open claims.  If there is none, adds it if create is
 * set, else returns NULL.
 */
struct claim_entry *
claim_index_entry(struct claim_ledger *ledger, struct str name, bool create)
{
	struct claim_entry lookup_key = {.name = name};
	struct claim_entry *entry =
	    g_hash_table_lookup(ledger->entries_by_name, &lookup_key);

	if (entry != NULL || !create)
		return entry;
	entry = mem_calloc(1, sizeof(*entry) + name.len);
	entry->name = copy_after_struct(entry + 1, name);
	CDS_INIT_LIST_HEAD(&entry->claims);
	cds_list_add_tail(&entry->node, &ledger->entries);
	g_hash_table_add(ledger->entries_by_name, entry);
	ledger->bytes += sizeof(*entry) + name.len + BLOCK_BYTES;
	return entry;
}

/*
 * Removes an entry if it has no open claim.
 */
static void
remove_unused_entry(struct claim_ledger *ledger, struct claim_entry *entry)
{
	if (entry->open > 0)
		return;
	cds_list_del(&entry->node);
	ledger->bytes -= sizeof(*entry) + entry->name.len + BLOCK_BYTES;
	g_hash_table_remove(ledger->entries_by_name, entry);
}

/*
 * Returns the memory used by a claim in bytes, without its answer and the
 * entry name of a fence.
 */
static size_t
claim_bytes(const struct claim *claim)
{
	return sizeof(*claim) + claim->tenant_len + claim->key_len +
	    BLOCK_BYTES + SLOT_BYTES;
}

/*
 * Adds a claim.  It is in no list until a claim_index_set_*() function inserts
 * it.
 */
struct claim *
claim_index_add(struct claim_ledger *ledger, const struct claim_key *key)
{
	struct claim *claim =
	    mem_calloc(1, sizeof(*claim) + key->tenant.len + key->key.len);
	char *bytes = (char *)(claim + 1);

	claim->service = claim_index_service(ledger, key->service, true);
	claim->hash = key_hash(key);
	claim->tenant_len = (uint32_t)key->tenant.len;
	claim->key_len = (uint32_t)key->key.len;
	if (key->tenant.len > 0)
		memcpy(bytes, key->tenant.data, key->tenant.len);
	if (key->key.len > 0)
		memcpy(bytes + key->tenant.len, key->key.data, key->key.len);
	CDS_INIT_LIST_HEAD(&claim->node);
	CDS_INIT_LIST_HEAD(&claim->age_node);
	claim->state = CLAIM_STATE_RELEASED;
	claim->service->fences++;
	g_hash_table_add(ledger->table, claim);
	ledger->bytes += claim_bytes(claim);
	return claim;
}

/*
 * Sets the state of a claim and updates the counters.
 */
static void
set_state(
    struct claim_ledger *ledger, struct claim *claim, enum claim_state state)
{
	bool was_counted = claim->state != CLAIM_STATE_RELEASED;
	bool is_counted = state != CLAIM_STATE_RELEASED;

	claim->state = (uint8_t)state;
	if (was_counted == is_counted)
		return;
	if (is_counted) {
		claim->service->claims++;
		claim->service->fences--;
		ledger->claims++;
	} else {
		claim->service->claims--;
		claim->service->fences++;
		ledger->claims--;
	}
}

/*
 * Removes a claim from its lists and frees its fence.
 */
static void
remove_from_lists(struct claim_ledger *ledger, struct claim *claim)
{
	cds_list_del_init(&claim->node);
	if (claim->fence_entry != NULL) {
		ledger->bytes -= strlen(claim->fence_entry) + 1 + BLOCK_BYTES;
		mem_free(claim->fence_entry);
		claim->fence_entry = NULL;
	}
	if (claim->entry == NULL)
		return;
	cds_list_del_init(&claim->age_node);
	claim->entry->open--;
	remove_unused_entry(ledger, claim->entry);
	claim->entry = NULL;
}

/*
 * Makes a claim open, held by holder until expires_us at the latest.
 */
void
claim_index_set_open(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_holder *holder, uint64_t expires_us)
{
	remove_from_lists(ledger, claim);
	set_state(ledger, claim, CLAIM_STATE_OPEN);
	claim->entry = claim_index_entry(ledger, holder->entry, true);
	claim->entry->open++;
	claim->incarnation = holder->incarnation;
	claim->attempt = holder->attempt;
	claim->expires_us = expires_us;
	cds_list_add_tail(&claim->node, &claim->entry->claims);
	cds_list_add_tail(&claim->age_node, &ledger->open);
}

/*
 * Makes a claim done or unknown, to be removed at expires_us.
 */
void
claim_index_set_ended(struct claim_ledger *ledger, struct claim *claim,
    enum claim_state state, uint64_t expires_us)
{
	remove_from_lists(ledger, claim);
	set_state(ledger, claim, state);
	claim->expires_us = expires_us;
	cds_list_add_tail(&claim->node, &claim->service->ended);
}

/*
 * Releases a claim as not run and fences the holder's attempt until
 * expires_us.
 */
void
claim_index_set_released(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_holder *holder, uint64_t expires_us)
{
	char *name = str_dup(holder->entry);

	remove_from_lists(ledger, claim);
	set_state(ledger, claim, CLAIM_STATE_RELEASED);
	claim->fence_entry = name;
	claim->incarnation = holder->incarnation;
	claim->attempt = holder->attempt;
	claim->expires_us = expires_us;
	ledger->bytes += strlen(name) + 1 + BLOCK_BYTES;
	cds_list_add_tail(&claim->node, &claim->service->released);
}

/*
 * Returns the memory used by a stored answer in bytes.
 */
static size_t
answer_bytes(const struct claim_stored_answer *answer)
{
	return sizeof(*answer) + answer->content_type_len + answer->body_len +
	    BLOCK_BYTES;
}

/*
 * Adds the size of a claim's answer to the byte counters, or subtracts it.
 */
static void
update_answer_bytes(struct claim_ledger *ledger, struct claim *claim, bool in)
{
	uint64_t bytes = answer_bytes(claim->answer);

	if (in) {
		ledger->bytes += bytes;
		ledger->answer_bytes += bytes;
		claim->service->answer_bytes += bytes;
	} else {
		ledger->bytes -= bytes;
		ledger->answer_bytes -= bytes;
		claim->service->answer_bytes -= bytes;
	}
}

/*
 * Stores the answer of a done claim; content type and body only if complete.
 */
void
claim_index_set_answer(struct claim_ledger *ledger, struct claim *claim,
    const struct claim_answer *answer)
{
	size_t body_len = answer->kept ? answer->body.len : 0;
	size_t type_len = answer->kept ? answer->content_type.len : 0;
	struct claim_stored_answer *stored =
	    mem_alloc(sizeof(*stored) + type_len + body_len);

	INVARIANT(claim->answer == NULL, "claim answered twice");
	stored->http_status = answer->http_status;
	stored->kept = answer->kept;
	stored->content_type_len = (uint32_t)type_len;
	stored->body_len = (uint32_t)body_len;
	if (type_len > 0)
		memcpy(stored->bytes, answer->content_type.data, type_len);
	if (body_len > 0)
		memcpy(stored->bytes + type_len, answer->body.data, body_len);
	claim->answer = stored;
	update_answer_bytes(ledger, claim, true);
	if (answer->kept)
		cds_list_add_tail(&claim->age_node, &claim->service->answered);
}

/*
 * Discards the content type and body of a stored answer; the claim stays done.
 */
void
claim_index_discard_answer(struct claim_ledger *ledger, struct claim *claim)
{
	struct claim_answer without_body = {
	    .http_status = claim->answer->http_status};

	cds_list_del_init(&claim->age_node);
	update_answer_bytes(ledger, claim, false);
	mem_free(claim->answer);
	claim->answer = NULL;
	claim_index_set_answer(ledger, claim, &without_body);
}

/*
 * Removes a claim.
 */
void
claim_index_remove(struct claim_ledger *ledger, struct claim *claim)
{
	remove_from_lists(ledger, claim);
	cds_list_del_init(&claim->age_node);
	if (claim->answer != NULL)
		update_answer_bytes(ledger, claim, false);
	set_state(ledger, claim, CLAIM_STATE_RELEASED);
	claim->service->fences--;
	ledger->bytes -= claim_bytes(claim);
	g_hash_table_remove(ledger->table, claim);
}
