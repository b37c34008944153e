/*
 * Replicated state machine of the control group: the document, the registry of
 * targets and the claim ledger.  Equal commands in equal order produce equal
 * states; it reads no clock.
 */
#ifndef CONTROL_STATE_MACHINE_H
#define CONTROL_STATE_MACHINE_H

#include "base/status.h"
#include "base/str.h"
#include "claim/ledger.h"
#include "document/document.h"
#include "registry/registry.h"
#include "wire/wire.pb-c.h"

/*
 * Called for each claim that ended, so that the submissions waiting for it can
 * be notified.
 */
typedef void state_machine_claim_ended(void *ctx, const struct claim_key *key);

struct state_machine {
	struct document *document;
	struct registry *registry;
	struct claim_ledger *ledger;
	struct view_log *view; /* recent changes of the view of entries */
	state_machine_claim_ended *claim_ended;
	void *ctx;
};

void state_machine_init(struct state_machine *machine,
    state_machine_claim_ended *claim_ended, void *ctx) ATTR_NONNULL(1, 2);
void state_machine_destroy(struct state_machine *machine) ATTR_NONNULL_ALL;
/*
 * Applies the command at a log index and returns its result, which is freed
 * with wire__result__free_unpacked().
 */
Wire__Result *state_machine_apply(struct state_machine *machine, uint64_t index,
    struct str bytes) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Appends a snapshot; replicas that applied the same commands produce the same
 * bytes.
 */
void state_machine_save(
    const struct state_machine *machine, struct str_buf *out) ATTR_NONNULL_ALL;
/*
 * Replaces the state by a snapshot; STATUS_CORRUPT with a message if data is
 * damaged.
 */
enum status state_machine_load(struct state_machine *machine, uint64_t index,
    struct str data) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
