#include "routing/accounts.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <sodium.h>
#include <string.h>

#include "base/memory.h"

enum {
	SLOTS_MIN = 16 /* a power of two */
};

/* A key in accounts->text. */
struct account_key {
	uint64_t hash;
	size_t offset;
	uint32_t len;
	const struct account *account;
};

struct accounts {
	GHashTable *names; /* name -> struct account, owned */
	struct str_buf text; /* all keys, one behind the other */
	struct account_key *keys;
	uint32_t key_count;
	uint32_t key_capacity;
	/* open addressing: index into keys plus 1, 0 if the slot is free */
	uint32_t *slots;
	uint32_t slot_count; /* a power of two, at least twice key_count */
};

/*
 * Secret of the hash, drawn when the process needs it first.  Without it a
 * caller can't construct keys that collide.
 */
static unsigned char hash_secret[crypto_shorthash_KEYBYTES];
static pthread_once_t hash_secret_once = PTHREAD_ONCE_INIT;

static void
draw_hash_secret(void)
{
	crypto_shorthash_keygen(hash_secret);
}

static uint64_t
hash_key(struct str key)
{
	unsigned char out[crypto_shorthash_BYTES];
	uint64_t hash;

	(void)crypto_shorthash(
	    out, (const unsigned char *)key.data, key.len, hash_secret);
	memcpy(&hash, out, sizeof(hash));
	return hash;
}

static void
account_free(void *value)
{
	struct account *account = value;

	mem_free(account->name);
	mem_free(account);
}

/*
 * Returns an empty table.
 */
struct accounts *
accounts_new(void)
{
	struct accounts *accounts = mem_calloc(1, sizeof(*accounts));

	(void)pthread_once(&hash_secret_once, draw_hash_secret);
	accounts->names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	accounts->slot_count = SLOTS_MIN;
	accounts->slots =
	    mem_calloc(accounts->slot_count, sizeof(*accounts->slots));
	return accounts;
}

/*
 * Frees a table, which may be NULL.
 */
void
accounts_free(struct accounts *accounts)
{
	if (accounts == NULL)
		return;
	g_hash_table_destroy(accounts->names);
	str_buf_free(&accounts->text);
	mem_free(accounts->keys);
	mem_free(accounts->slots);
	mem_free(accounts);
}

/*
 * Returns whether a text has 1 to max characters, all of them visible ASCII: a
 * header value that no parser changes.
 */
bool
account_text_is_valid(struct str text, size_t max)
{
	if (text.len == 0 || text.len > max)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isgraph(text.data[i]))
			return false;
	}
	return true;
}

static bool
is_limit(double number)
{
	return isfinite(number) && number >= 0;
}

/*
 * Adds an account without keys.  A name that is no valid header value isn't
 * quoted in the message.
 */
enum status
accounts_add(struct accounts *accounts, const struct account *from,
    const struct account **added)
{
	struct account *account;

	if (!account_text_is_valid(
		str_from(from->name), ACCOUNT_NAME_MAX_BYTES))
		return status_set(STATUS_INVALID,
		    "account %u: the name is not 1 to %d visible ASCII "
		    "characters",
		    accounts_count(accounts), ACCOUNT_NAME_MAX_BYTES);
	if (accounts_find_name(accounts, from->name) != NULL)
		return status_set(
		    STATUS_INVALID, "account \"%s\" stands twice", from->name);
	if (!is_limit(from->rate_per_s) || !is_limit(from->burst))
		return status_set(STATUS_INVALID,
		    "account \"%s\": the rate or burst is below 0 or not "
		    "finite",
		    from->name);
	if (accounts_count(accounts) == ACCOUNTS_MAX)
		return status_set(
		    STATUS_INVALID, "more than %d accounts", ACCOUNTS_MAX);
	account = mem_alloc(sizeof(*account));
	*account = *from;
	account->name = str_dup(str_from(from->name));
	account->id = (uint32_t)str_hash(str_from(from->name));
	/* In messages an id of 0 stands for no account. */
	if (account->id == 0)
		account->id = 1;
	g_hash_table_insert(accounts->names, account->name, account);
	*added = account;
	return STATUS_OK;
}

static struct str
key_text(const struct accounts *accounts, const struct account_key *key)
{
	return str_of(accounts->text.data + key->offset, key->len);
}

/*
 * Returns the slot of a key, or the free one in which it belongs.  The bytes
 * are compared in constant time, and only after the keyed hash was the same, so
 * that the time of a lookup says nothing about a key.
 */
static uint32_t
find_slot(const struct accounts *accounts, struct str key, uint64_t hash)
{
	uint32_t mask = accounts->slot_count - 1;
	uint32_t at = (uint32_t)hash & mask;

	for (; accounts->slots[at] != 0; at = (at + 1) & mask) {
		const struct account_key *known =
		    &accounts->keys[accounts->slots[at] - 1];

		if (known->hash == hash && known->len == key.len &&
		    sodium_memcmp(
			key_text(accounts, known).data, key.data, key.len) == 0)
			break;
	}
	return at;
}

/*
 * Doubles the number of slots.
 */
static void
grow_slots(struct accounts *accounts)
{
	uint32_t mask;

	mem_free(accounts->slots);
	accounts->slot_count *= 2;
	accounts->slots =
	    mem_calloc(accounts->slot_count, sizeof(*accounts->slots));
	mask = accounts->slot_count - 1;
	for (uint32_t i = 0; i < accounts->key_count; i++) {
		uint32_t at = (uint32_t)accounts->keys[i].hash & mask;

		while (accounts->slots[at] != 0)
			at = (at + 1) & mask;
		accounts->slots[at] = i + 1;
	}
}

/*
 * Adds a key at the end of the list.
 */
static void
append_key(struct accounts *accounts, const struct account *account,
    struct str key, uint64_t hash)
{
	if (accounts->key_count == accounts->key_capacity) {
		accounts->key_capacity = accounts->key_capacity > 0
		    ? accounts->key_capacity * 2
		    : SLOTS_MIN;
		accounts->keys = mem_resize(accounts->keys,
		    accounts->key_capacity * sizeof(*accounts->keys));
	}
	accounts->keys[accounts->key_count++] = (struct account_key){
	    .hash = hash,
	    .offset = accounts->text.len,
	    .len = (uint32_t)key.len,
	    .account = account,
	};
	str_buf_append(&accounts->text, key);
}

/*
 * Adds a key of an account.  One that the account already has is no error.
 */
enum status
accounts_add_key(
    struct accounts *accounts, const struct account *account, struct str key)
{
	uint64_t hash;
	uint32_t at;

	if (!account_text_is_valid(key, ACCOUNT_KEY_MAX_BYTES))
		return status_set(STATUS_INVALID,
		    "account \"%s\": a key is not 1 to %d visible ASCII "
		    "characters",
		    account->name, ACCOUNT_KEY_MAX_BYTES);
	hash = hash_key(key);
	at = find_slot(accounts, key, hash);
	if (accounts->slots[at] != 0) {
		const struct account *owner =
		    accounts->keys[accounts->slots[at] - 1].account;

		if (owner == account)
			return STATUS_OK;
		return status_set(STATUS_INVALID,
		    "accounts \"%s\" and \"%s\" have the same key", owner->name,
		    account->name);
	}
	if (accounts->key_count == ACCOUNT_KEYS_MAX)
		return status_set(STATUS_INVALID,
		    "account \"%s\": more than %d keys in all", account->name,
		    ACCOUNT_KEYS_MAX);
	append_key(accounts, account, key, hash);
	accounts->slots[at] = accounts->key_count;
	if (accounts->key_count * 2 > accounts->slot_count)
		grow_slots(accounts);
	return STATUS_OK;
}

/*
 * Returns the account of a key; NULL if the document doesn't hold it.
 */
const struct account *
accounts_find(const struct accounts *accounts, struct str key)
{
	uint32_t slot;

	if (key.len == 0 || key.len > ACCOUNT_KEY_MAX_BYTES)
		return NULL;
	slot = accounts->slots[find_slot(accounts, key, hash_key(key))];
	return slot != 0 ? accounts->keys[slot - 1].account : NULL;
}

/*
 * Returns the account with a name, or NULL.
 */
const struct account *
accounts_find_name(const struct accounts *accounts, const char *name)
{
	return g_hash_table_lookup(accounts->names, name);
}

/*
 * Returns the number of accounts.
 */
unsigned
accounts_count(const struct accounts *accounts)
{
	return g_hash_table_size(accounts->names);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	const struct account *const *x = a;
	const struct account *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/*
 * Returns the accounts, sorted by name.
 */
GPtrArray *
accounts_list(const struct accounts *accounts)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, accounts->names);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, compare_names);
	return list;
}

/*
 * Calls a function for each key, in the order of the document.
 */
void
accounts_for_each_key(const struct accounts *accounts,
    void (*visit)(void *ctx, const struct account *account, struct str key),
    void *ctx)
{
	for (uint32_t i = 0; i < accounts->key_count; i++) {
		const struct account_key *key = &accounts->keys[i];

		visit(ctx, key->account, key_text(accounts, key));
	}
}
