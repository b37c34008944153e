#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/memory.h"
#include "control/control_internal.h"
#include "control/control_json.h"

/*
 * Returns the members of the group as known to this instance; the caller owns
 * the array.
 */
struct json_object *
control_members_json(const struct control *control)
{
	struct json_object *root = json_object_new_array();

	for (unsigned i = 0; i < control->info.member_count; i++) {
		const struct replica_member *member = &control->info.members[i];
		struct json_object *item = json_object_new_object();

		control_json_add_u64(item, "id", member->id);
		control_json_add_text(item, "address", member->address);
		control_json_add_bool(item, "voter", member->voter);
		json_object_array_add(root, item);
	}
	return root;
}

/*
 * Returns the entries known to this leader, with the remaining time of their
 * leases; empty on a follower.  The caller owns the array.
 */
static struct json_object *
entries_json(const struct control *control, uint64_t now_us)
{
	struct json_object *root = json_object_new_array();

	for (unsigned i = 0; i < entry_table_count(control->entries); i++) {
		const struct entry_record *entry =
		    entry_table_at(control->entries, i);
		struct json_object *item = json_object_new_object();
		uint64_t left = entry_record_live(entry, now_us)
		    ? (entry->lease_until_us - now_us) / US_PER_MS
		    : 0;

		control_json_add_text(item, "name", entry->name);
		control_json_add_text(item, "address", entry->reported.address);
		control_json_add_text(
		    item, "failure_domain", entry->reported.failure_domain);
		control_json_add_u64(
		    item, "applied_index", entry->applied_index);
		control_json_add_u64(item, "lease_left_ms", left);
		control_json_add_u64(
		    item, "share_divisor", entry->share_divisor);
		control_json_add_bool(item, "leaving", entry->reported.leaving);
		control_json_add_u64(
		    item, "spare_eighths", entry->reported.spare_eighths);
		json_object_array_add(root, item);
	}
	return root;
}

/*
 * Returns the name of a target's state.
 */
static const char *
state_name(enum registry_state state)
{
	switch (state) {
	case REGISTRY_READY:
		return "ready";
	case REGISTRY_COLD:
		return "cold";
	case REGISTRY_DRAINING:
		return "draining";
	}
	return "unknown";
}

/*
 * Visitor of the registry: appends a target to the array ctx.
 */
static void
add_target_json(void *ctx, const struct registry_target *target)
{
	struct json_object *item = json_object_new_object();

	control_json_add_str(item, "id", target->id);
	control_json_add_str(item, "service", target->service);
	control_json_add_str(item, "address", target->address);
	control_json_add_str(item, "failure_domain", target->failure_domain);
	control_json_add_text(item, "state", state_name(target->state));
	control_json_add_str(item, "holder", target->holder);
	control_json_add_u64(item, "slots", target->slots);
	json_object_array_add(ctx, item);
}

/*
 * Answers with the state known to this instance, leader or not; a follower may
 * lag behind.
 */
void
control_run_status(struct control *control, struct job *job, uint64_t now_us)
{
	const struct replica_info *info = &control->info;
	struct json_object *root = json_object_new_object();
	struct json_object *targets = json_object_new_array();
	struct json_object *claims = json_object_new_object();

	control_json_add_text(root, "instance", control->settings.instance);
	control_json_add_text(
	    root, "failure_domain", control->settings.failure_domain);
	control_json_add_u64(root, "replica", control->settings.replica_id);
	control_json_add_text(root, "role", replica_role_name(info->role));
	control_json_add_bool(
	    root, "has_lease", control_holds_leader_lease(control, now_us));
	control_json_add_u64(root, "term", info->term);
	control_json_add_u64(root, "leader", info->leader);
	control_json_add_u64(root, "commit_index", info->commit_index);
	control_json_add_u64(root, "applied_index", info->applied_index);
	control_json_add_u64(root, "last_index", info->last_index);
	control_json_add_u64(root, "snapshot_index", info->snapshot_index);
	control_json_add_u64(
	    root, "view_index", view_log_last_index(control->machine.view));
	json_object_object_add(root, "members", control_members_json(control));
	json_object_object_add(root, "entries", entries_json(control, now_us));
	registry_for_each(control->machine.registry, add_target_json, targets);
	json_object_object_add(root, "targets", targets);
	control_json_add_u64(
	    claims, "count", claim_ledger_count(control->machine.ledger));
	control_json_add_u64(
	    claims, "bytes", claim_ledger_bytes(control->machine.ledger));
	json_object_object_add(root, "claims", claims);
	control_json_finish(job, 200, root);
}

/*
 * Answers 200 if this instance leads with a valid leader lease or follows a
 * leader, else 503.
 */
void
control_run_ready(struct control *control, struct job *job, uint64_t now_us)
{
	const struct replica_info *info = &control->info;
	bool ready = control_holds_leader_lease(control, now_us) ||
	    (info->role == REPLICA_FOLLOWER && info->leader != 0);

	str_buf_printf(&job->body, "role=%s leader=%llu term=%llu\n",
	    replica_role_name(info->role), (unsigned long long)info->leader,
	    (unsigned long long)info->term);
	job_finish(job, ready ? 200 : 503, "text/plain");
}
