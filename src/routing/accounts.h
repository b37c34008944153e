/*
 * The client accounts of a document and their keys.  The table is built once,
 * by the accounts_add functions, which validate it, and is immutable
 * afterwards.  Messages name accounts and never a key.
 */
#ifndef ROUTING_ACCOUNTS_H
#define ROUTING_ACCOUNTS_H

#include <glib.h>

#include "base/attr.h"
#include "base/status.h"
#include "base/str.h"
#include "routing/account.h"

enum {
	ACCOUNTS_MAX = 65536,
	ACCOUNT_KEYS_MAX = 1048576, /* of all accounts */
	ACCOUNT_NAME_MAX_BYTES = 128,
	ACCOUNT_KEY_MAX_BYTES = 1024
};

struct accounts;

struct accounts *accounts_new(void) ATTR_UNUSED_RESULT;
void accounts_free(struct accounts *accounts);

/*
 * Adds an account without keys.  The name is copied, and the id is set.
 * Returns STATUS_INVALID with a message if it breaks a rule.
 */
enum status accounts_add(struct accounts *accounts, const struct account *from,
    const struct account **added) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Adds a key of an account, which was added before. */
enum status
accounts_add_key(struct accounts *accounts, const struct account *account,
    struct str key) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

/* The account of a key, or NULL. */
const struct account *
accounts_find(const struct accounts *accounts, struct str key) ATTR_NONNULL_ALL;
/* The account with a name, or NULL. */
const struct account *accounts_find_name(
    const struct accounts *accounts, const char *name) ATTR_NONNULL_ALL;
unsigned accounts_count(const struct accounts *accounts) ATTR_NONNULL_ALL;
/* The accounts by name; the caller frees the list, not its elements. */
GPtrArray *accounts_list(const struct accounts *accounts) ATTR_NONNULL_ALL;
/* Calls visit for each key, which must not be shown to anybody. */
void accounts_for_each_key(const struct accounts *accounts,
    void (*visit)(void *ctx, const struct account *account, struct str key),
    void *ctx) ATTR_NONNULL(1, 2);

/* Whether a text has 1 to max characters, all of them visible ASCII. */
bool account_text_is_valid(struct str text, size_t max);

#endif
