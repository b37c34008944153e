/*
 * Client accounts: which account a request belongs to, by its key, and whether
 * the key is still valid when the request is sent.
 */
#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "base/logger.h"
#include "base/memory.h"
#include "flow/flow_internal.h"

static const char *const reason_names[KEY_REASONS] = {
    [KEY_MISSING] = "missing",
    [KEY_UNKNOWN] = "unknown",
    [KEY_OTHER_SCHEME] = "scheme",
    [KEY_REPEATED] = "repeated",
    [KEY_WITHDRAWN] = "withdrawn",
};

/*
 * Reads the key of a request.  Returns why it has none that can be looked up,
 * or KEY_REASONS if it has one.
 */
static enum key_reason
read_key(const struct exchange *x, struct str *key)
{
	const struct flow_dialect *d = &x->flow->dialect;
	struct str value = str_trim(head_find(&x->head, d->key_header));
	struct str scheme;

	if (head_count(&x->head, d->key_header) > 1)
		return KEY_REPEATED;
	if (value.len == 0)
		return KEY_MISSING;
	(void)str_split(&value, ' ', &scheme);
	if (scheme.len != strlen(d->key_scheme) ||
	    strncasecmp(scheme.data, d->key_scheme, scheme.len) != 0)
		return KEY_OTHER_SCHEME;
	*key = str_trim(value);
	return key->len > 0 ? KEY_REASONS : KEY_MISSING;
}

/*
 * Answers 401 and keeps the caller's connection.  The key is neither logged nor
 * sent back.
 */
static void
refuse(struct exchange *x, enum key_reason reason)
{
	struct flow *flow = x->flow;

	counter_add(flow->keys_refused[reason], 1);
	if (flow_may_log(flow))
		log_info("key_refused",
		    "instance=%s request=%" PRIu64
		    " attempt=%s route=%s reason=%s version=%" PRIu64,
		    flow->settings.instance, x->id, x->attempt_id,
		    x->route->name, reason_names[reason],
		    flow->routes->version);
	exchange_refuse(x, 401, 0, "no valid key");
}

/*
 * Sets the account of a request by its key.  Returns false after a 401: the
 * route needs a key, and the document in force doesn't hold this one.
 */
bool
account_authenticate(struct exchange *x)
{
	const struct accounts *accounts = x->routes->accounts;
	enum key_reason reason;
	struct str key;

	if (accounts == NULL)
		return true;
	reason = read_key(x, &key);
	if (reason == KEY_REASONS) {
		x->account = accounts_find(accounts, key);
		reason = KEY_UNKNOWN;
	}
	if (x->account != NULL)
		account_count(x->flow, x->account->name);
	if (x->account != NULL || x->route->public)
		return true;
	refuse(x, reason);
	return false;
}

/*
 * Makes a request one of the account that holds its key now.
 */
static void
move_to(struct exchange *x, const struct account *account)
{
	if (strcmp(account->name, x->account->name) == 0)
		return;
	if (x->account_routes != NULL)
		routes_put(x->account_routes);
	x->account_routes = routes_get(x->flow->routes);
	x->account = account;
}

/*
 * Returns whether a request that is about to be sent or rejected has to be
 * refused since the document in force no longer holds its key.  A request that
 * a target may have run ends as it otherwise would; one on a public route
 * continues without an account, and one whose key has moved with that one's.
 */
bool
account_is_withdrawn(struct exchange *x)
{
	const struct routes *in_force = x->flow->routes;
	const struct account *account;
	struct str key;

	if (x->account == NULL || x->ended || x->routes == in_force ||
	    in_force->accounts == NULL || exchange_may_have_run(x))
		return false;
	account = read_key(x, &key) == KEY_REASONS
	    ? accounts_find(in_force->accounts, key)
	    : NULL;
	if (account != NULL) {
		move_to(x, account);
		return false;
	}
	if (x->route->public)
		x->account = NULL;
	return !x->route->public;
}

/*
 * Answers a request whose key was withdrawn while it waited.
 */
void
account_refuse_withdrawn(struct exchange *x)
{
	refuse(x, KEY_WITHDRAWN);
}

/*
 * Returns the rank of a request: its account's, or its route's.
 */
uint32_t
account_rank(const struct exchange *x)
{
	return x->account != NULL && x->account->has_rank ? x->account->rank
							  : x->route->rank;
}

/*
 * Registers the counters of refused keys.
 */
void
account_open(struct flow *flow)
{
	for (unsigned i = 0; i < KEY_REASONS; i++)
		flow->keys_refused[i] = counter_register(COUNTER_TOTAL,
		    "gypsummill_flow_keys_refused_total",
		    "Requests answered with 401, by reason (count)",
		    "reason=\"%s\"", reason_names[i]);
	account_counts_open(flow);
}
