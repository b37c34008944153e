/*
 * An entry's link to the control group: heartbeats, the document lease,
 * view changes, and proposals (targets, claims).  A dedicated thread handles
 * the sockets; the functions below are thread-safe.
 */
#ifndef LINK_LINK_H
#define LINK_LINK_H

#include "base/status.h"
#include "base/str.h"
#include "wire/wire.pb-c.h"

struct link_settings {
	const char *entry; /* instance name */
	const char *address; /* IP:PORT for callers */
	const char *failure_domain;
	uint64_t incarnation;
	const char *controls; /* IP:PORT,... of the controls' link sockets */
	const char *keys; /* key folder; empty: no encryption */
	const char *key_name; /* of its key pair in the folder, e.g. "entry" */
	uint64_t heartbeat_us;
};

/* Called on the link's thread, which is registered with RCU. */
struct link_callbacks {
	void *ctx;
	/* Discards the view; the changes that follow rebuild it. */
	void (*reset)(void *ctx);
	/* Called for each view change, in index order. */
	void (*change)(void *ctx, const Wire__Change *change);
	/* Called after each batch: the view is at this term and index. */
	void (*installed)(void *ctx, uint64_t term, uint64_t index);
	/*
	 * Called when the lease is renewed, with its end and share divisor.
	 * Also called after it has expired: first with the divisor of the safe
	 * share, then with UINT32_MAX.
	 */
	void (*lease)(void *ctx, uint64_t until_us, uint32_t share_divisor);
	void (*entries)(
	    void *ctx, Wire__EntryInfo *const *entries, size_t count);
	void (*claim_ended)(void *ctx, const Wire__ClaimEnded *ended);
	/* Writes the answer to an operator's query to json. */
	void (*query)(
	    void *ctx, const Wire__Query *query, struct str_buf *json);
	/* Returns the spare capacity in eighths. */
	uint32_t (*spare_eighths)(void *ctx);
};

struct link;

enum status link_open(const struct link_settings *settings,
    const struct link_callbacks *callbacks,
    struct link **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void link_close(struct link *link);
/* Monotonic time (us) until which the view is known to be current. */
uint64_t link_lease_until_us(const struct link *link) ATTR_NONNULL_ALL;
void link_set_leaving(struct link *link) ATTR_NONNULL_ALL;
/*
 * Proposes a command and waits for its result until a monotonic deadline (us).
 * On STATUS_TIMEOUT the command may or may not have been accepted;
 * STATUS_CLOSED means that the link was closed.  Free the result with
 * link_result_free().
 */
enum status link_propose(struct link *link, const Wire__Command *command,
    uint64_t deadline_us,
    Wire__Result **result) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void link_result_free(Wire__Result *result);

#endif
