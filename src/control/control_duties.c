#include <string.h>

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/control_internal.h"

/* Leases without a heartbeat after which an entry counts as lost. */
static const uint64_t lost_leases = 2;
static const uint64_t holders_interval_us = US_PER_S;

/* A duty's command; a lost lead leaves it to the next leader. */
static void
propose_duty(struct control *control, Wire__Command *command)
{
	if (control_propose(control, command, NULL) != STATUS_OK)
		log_debug(
		    "duty_dropped", "instance=%s", control->settings.instance);
}

/*
 * Proposes that an incarnation of an entry, and each before it, is lost, so
 * that its open claims are settled.
 */
void
control_duty_entry_lost(
    struct control *control, const char *name, uint64_t incarnation)
{
	Wire__EntryLost lost = WIRE__ENTRY_LOST__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;

	lost.entry = (char *)name;
	lost.incarnation = incarnation;
	command.body_case = WIRE__COMMAND__BODY_ENTRY_LOST;
	command.entry_lost = &lost;
	propose_duty(control, &command);
}

struct expectation {
	struct control *control;
	uint64_t now_us;
};

/*
 * Expects the entry that holds a target to send a heartbeat (a registry
 * visit).
 */
static void
expect_holder(void *ctx, const struct registry_target *target)
{
	struct expectation *e = ctx;

	entry_table_expect(e->control->entries, target->holder, 0, e->now_us);
}

/* Claims held by an incarnation that its entry has left behind. */
struct stale_holder {
	char entry[ENTRY_NAME_BYTES];
	uint64_t incarnation;
};

struct holder_check {
	struct control *control;
	uint64_t now_us;
	GArray *stale; /* of struct stale_holder */
};

/*
 * Looks at an entry that holds open claims (a ledger visit): an unknown one is
 * expected from now on; an incarnation that its entry has left behind is noted
 * as stale.
 */
static void
check_holder(
    void *ctx, struct str name, uint64_t incarnation, uint64_t open ATTR_UNUSED)
{
	struct holder_check *check = ctx;
	const struct entry_record *entry =
	    entry_table_find(check->control->entries, name);
	struct stale_holder stale = {.incarnation = incarnation};

	if (entry == NULL) {
		entry_table_expect(
		    check->control->entries, name, incarnation, check->now_us);
		return;
	}
	if (!entry->connected || incarnation >= entry->now.incarnation)
		return;
	memcpy(stale.entry, entry->name, sizeof(stale.entry));
	g_array_append_val(check->stale, stale);
}

/*
 * A claim may be granted to an entry after it was declared lost, since its
 * proposal was on the way.  Holders that are not alive are expected for a
 * while and then declared lost (again).
 */
static void
check_claim_holders(struct control *control, uint64_t now_us)
{
	struct holder_check check = {
	    .control = control,
	    .now_us = now_us,
	    .stale = g_array_new(FALSE, FALSE, sizeof(struct stale_holder)),
	};

	claim_ledger_for_each_holder(
	    control->machine.ledger, check_holder, &check);
	for (unsigned i = 0; i < check.stale->len; i++) {
		const struct stale_holder *stale =
		    &g_array_index(check.stale, struct stale_holder, i);

		control_duty_entry_lost(
		    control, stale->entry, stale->incarnation);
	}
	g_array_free(check.stale, TRUE);
}

/*
 * Starts the leader's duties: no entry is known yet but those who hold targets
 * or claims, which must report in time or be lost.
 */
void
control_duties_lead(struct control *control, uint64_t now_us)
{
	struct expectation e = {.control = control, .now_us = now_us};
	struct share_params shares;

	control_share_params(control, &shares);
	/* Terms start at 1, so its leader is the group's first. */
	entry_table_lead(
	    control->entries, &shares, control->info.term == 1, now_us);
	registry_for_each(control->machine.registry, expect_holder, &e);
	check_claim_holders(control, now_us);
	control->view_sent = view_log_last(control->machine.view);
	control->duties_us = now_us;
}

struct held_targets {
	struct str holder;
	GPtrArray *ids; /* owned copies */
};

/*
 * Copies the id of a target that the entry holds (a registry visit), as the
 * registry must not change under the visit.
 */
static void
collect_held(void *ctx, const struct registry_target *target)
{
	struct held_targets *held = ctx;

	if (str_equal(target->holder, held->holder))
		g_ptr_array_add(held->ids, str_dup(target->id));
}

/* Targets that announced themselves elsewhere meanwhile stay. */
static void
remove_held(struct control *control, const char *entry)
{
	struct held_targets held = {
	    .holder = str_from(entry),
	    .ids = g_ptr_array_new_with_free_func(mem_free),
	};

	registry_for_each(control->machine.registry, collect_held, &held);
	for (unsigned i = 0; i < held.ids->len; i++) {
		Wire__TargetRemove gone = WIRE__TARGET_REMOVE__INIT;
		Wire__Command command = WIRE__COMMAND__INIT;

		gone.id = held.ids->pdata[i];
		gone.holder = (char *)entry;
		command.body_case = WIRE__COMMAND__BODY_TARGET_REMOVE;
		command.target_remove = &gone;
		propose_duty(control, &command);
	}
	g_ptr_array_free(held.ids, TRUE);
}

/*
 * Does the leader's duties that are due at now_us, if its lease still holds:
 * looks for claims of lost entries, and declares lost each entry that was
 * silent too long, with its targets.
 */
void
control_duties_run(struct control *control, uint64_t now_us)
{
	uint64_t lost_us = lost_leases * control_lease_us(control) +
	    control_target_lease_us(control);
	struct entry_record lost;

	if (!control_leads(control, now_us))
		return;
	if (now_us >= control->holders_due_us) {
		control->holders_due_us = now_us + holders_interval_us;
		check_claim_holders(control, now_us);
	}
	while (
	    entry_table_take_lost(control->entries, now_us, lost_us, &lost)) {
		log_warn("entry_lost", "instance=%s entry=%s failure_domain=%s",
		    control->settings.instance, lost.name,
		    lost.now.failure_domain);
		control_duty_entry_lost(control, lost.name,
		    lost.now.incarnation != 0 ? lost.now.incarnation
					      : UINT64_MAX);
		remove_held(control, lost.name);
	}
}
