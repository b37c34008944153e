/*
 * Voters whose disks are gone, as operators see them.
 */
#include <inttypes.h>

#include "base/clock.h"
#include "base/logger.h"
#include "core/core_internal.h"

enum {
	REPORT_MS = 1000, /* between reports of voters without a disk */
	QUORUM_LOG_MS = 60 * 1000 /* between lines that say it is lost */
};

/*
 * Sets the metric of each address: whether a voter's disk there is gone.
 * Appends the voters of which that is so to names.
 */
static void
count_gone_voters(struct core *core, const unsigned *gone, unsigned count,
    struct str_buf *names)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->gone_voters);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counter_set(value, 0);
	for (unsigned i = 0; i < count; i++) {
		const struct replica_member *member =
		    &core->info.members[gone[i]];
		struct counter *counter =
		    g_hash_table_lookup(core->gone_voters, member->address);

		if (counter == NULL) {
			counter = counter_register(COUNTER_GAUGE,
			    "gypsummill_core_voter_without_disk",
			    "1 while the disk of the voter at this address is "
			    "gone and the voter not replaced",
			    "address=\"%s\"", member->address);
			g_hash_table_insert(core->gone_voters,
			    g_strdup(member->address), counter);
		}
		counter_set(counter, 1);
		str_buf_printf(names, "%s%s/%" PRIu64, i > 0 ? "," : "",
		    member->address, member->id);
	}
}

/*
 * Reports the voters whose disks are gone, and logs it when those that remain
 * can't be a majority any more.  Such a group elects no leader and accepts
 * nothing, for good.
 */
void
core_quorum_tick(struct core *core, uint64_t now_us)
{
	unsigned gone[REPLICA_MEMBERS_MAX];
	struct str_buf names = {0};
	unsigned count;
	bool without_quorum;

	if (now_us < core->next_report_us)
		return;
	core->next_report_us = now_us + REPORT_MS * US_PER_MS;
	count =
	    group_keeper_gone_voters(&core->keeper, &core->info, now_us, gone);
	count_gone_voters(core, gone, count, &names);
	without_quorum = group_is_without_quorum(&core->info, count);
	counter_set(core->without_quorum, without_quorum);
	if (!without_quorum)
		core->without_quorum_us = 0;
	else if (core->without_quorum_us == 0)
		core->without_quorum_us = now_us;
	/* A replica that was cut off is told meanwhile that it was removed. */
	if (without_quorum &&
	    now_us - core->without_quorum_us >= GROUP_SILENT_MS * US_PER_MS &&
	    now_us >= core->next_quorum_log_us) {
		core->next_quorum_log_us = now_us + QUORUM_LOG_MS * US_PER_MS;
		log_error("quorum_lost",
		    "instance=%s replica=%" PRIu64 " members=%u "
		    "without_disk=%s commit=%" PRIu64,
		    core->settings.instance, core->replica_id,
		    core->info.member_count, names.data,
		    core->info.commit_index);
	}
	str_buf_free(&names);
}
