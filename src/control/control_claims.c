#include "base/memory.h"
#include "control/control_internal.h"

/*
 * Returns the key of a claim in the table of waiters; freed with g_free().
 */
static char *
claim_key_text(const struct claim_key *key)
{
	return g_strdup_printf("%.*s\n%.*s\n%.*s", STR_ARG(key->tenant),
	    STR_ARG(key->service), STR_ARG(key->key));
}

/*
 * Returns the key, as text, of the claim that a command opens, or NULL if it
 * opens none; freed with g_free().
 */
char *
control_claim_key_text(const Wire__Command *command)
{
	const Wire__ClaimOpen *open;
	struct claim_key key;

	if (command->body_case != WIRE__COMMAND__BODY_CLAIM_OPEN)
		return NULL;
	open = command->claim_open;
	key = (struct claim_key){
	    .tenant = str_from(open->tenant),
	    .service = str_from(open->service),
	    .key = str_from(open->key),
	};
	return claim_key_text(&key);
}

/* Registers the peer as a waiter for a claim that another submission holds. */
void
control_claim_add_waiter(struct control *control, const char *text,
    const struct transport_peer *peer)
{
	GArray *peers = g_hash_table_lookup(control->claim_waiters, text);

	if (peers == NULL) {
		peers = g_array_new(FALSE, FALSE, sizeof(*peer));
		g_hash_table_insert(
		    control->claim_waiters, g_strdup(text), peers);
	}
	g_array_append_vals(peers, peer, 1);
}

/*
 * Notifies, once, the entries with submissions that wait for a claim that it
 * has ended; each then asks for the outcome.  Callback of the state machine;
 * ctx is the control.
 */
void
control_notify_claim_ended(void *ctx, const struct claim_key *key)
{
	struct control *control = ctx;
	char *text = claim_key_text(key);
	GArray *peers = g_hash_table_lookup(control->claim_waiters, text);
	Wire__ClaimEnded ended = WIRE__CLAIM_ENDED__INIT;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	if (peers != NULL) {
		ended.tenant = str_dup(key->tenant);
		ended.service = str_dup(key->service);
		ended.key = str_dup(key->key);
		envelope.body_case = WIRE__ENVELOPE__BODY_CLAIM_ENDED;
		envelope.claim_ended = &ended;
		for (unsigned i = 0; i < peers->len; i++)
			control_send(control,
			    &g_array_index(peers, struct transport_peer, i),
			    &envelope);
		mem_free(ended.tenant);
		mem_free(ended.service);
		mem_free(ended.key);
		g_hash_table_remove(control->claim_waiters, text);
	}
	g_free(text);
}
