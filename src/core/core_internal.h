/*
 * Internal types and functions shared by the files of a control instance.
 * Used only on its event loop.
 */
#ifndef CORE_CORE_INTERNAL_H
#define CORE_CORE_INTERNAL_H

#include <glib.h>

#include "base/counter.h"
#include "base/log_limiter.h"
#include "base/minute_log.h"
#include "core/core.h"
#include "core/core_state.h"
#include "core/group_keeper.h"
#include "core/proposal_list.h"
#include "limit/allowance_bucket.h"
#include "net/channel.h"
#include "replica/replica.h"
#include "replica/storage.h"

/* What a peer was sent of documents. */
struct core_peer_document {
	uint64_t text_index; /* of a text that is not confirmed; 0: none */
	uint64_t text_sent_us;
	uint64_t text_end; /* in the bytes queued on the channel */
	uint64_t confirmed_index; /* of the last text that was confirmed */
	bool text_due; /* the newest text, once none is on its way */
	bool announcement_due;
	uint64_t announcement_end; /* of the last one; as text_end */
};

/* The remote end of an accepted channel. */
struct core_peer {
	struct channel *channel;
	bool hello_received;
	bool initial_state_due; /* sent at the next tick */
	bool is_control;
	bool wants_all; /* subscribes to targets and entries */
	uint64_t replica; /* 0: an entry, or an instance without a disk */
	Fleet__Hello *hello; /* owned */
	struct core_peer_document document;
};

/* An entry reported by other control instances. */
struct core_entry {
	Fleet__Hello *hello; /* owned */
	uint64_t sources; /* bit per neighbour that reports it */
	/* of these, the ones that did since they were last connected */
	uint64_t renewed;
};

/* Another control instance that this one connects to. */
struct core_neighbour {
	struct channel *channel;
	char address[64];
	uint64_t last_named_us; /* when a peer last named it */
	unsigned bit; /* in core_entry.sources */
	bool synced;
	/* entries that it has not reported again are dropped then; 0: none */
	uint64_t sweep_us;
};

/* A command or read without a result, local or for another instance. */
struct core_pending_request {
	uint64_t request;
	uint64_t index; /* of the log; 0 until known */
	uint64_t term;
	uint64_t deadline_us;
	core_done *done; /* of a local caller */
	core_read_done *read_done;
	void *ctx;
	uint64_t peer_request; /* the peer's request number */
	struct channel *peer; /* NULL: a local caller */
};

/* What this instance holds as a voter of the allowances of accounts. */
struct core_allowance {
	struct allowance_table *table;
	uint64_t started_us; /* of the process, at the latest */
	unsigned shares; /* 2 f + 1, as of the start */
	uint64_t replica_id; /* for which the following holds */
	uint64_t held_since_us; /* a share is held; 0: it is not */
	uint64_t wait_us; /* from then until it is granted from */
	bool granting;
	/*
	 * As the file says: the share was held, and granted from, with the list
	 * of members in effect at this index.  0: nothing is known.
	 */
	uint64_t share_index;
	struct core_share_write *write; /* under way; NULL: none */
	uint64_t next_write_us;
	/* The floors in the file may be used; nothing was granted yet. */
	bool floors_usable;
	bool floors_read;
	bool floors_failed; /* the last write of them */
	struct core_floors_write *floors_write; /* under way; NULL: none */
	uint64_t next_floors_us;
	uint64_t next_sweep_us;
	struct counter *granted;
	struct counter *refused;
	struct counter *unavailable;
	struct counter *returned;
	struct counter *buckets;
	struct counter *floors_written;
	struct counter *floors_not_written;
};

/* A document with its text. */
struct core_document {
	uint64_t index; /* of the log; 0: none */
	uint64_t version;
	struct str_buf text;
};

struct core {
	uv_loop_t *loop;
	struct core_settings settings;
	struct channel_listener *listener;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uv_async_t log_synced;
	GPtrArray *peers; /* of struct core_peer */
	GHashTable *neighbours; /* link address -> struct core_neighbour */
	unsigned next_neighbour_bit;
	GHashTable *entries; /* datagram address -> struct core_entry */
	GHashTable *addresses; /* replica id -> link address */
	struct roster *roster;
	struct core_state state;
	/*
	 * What this instance had applied before its replica was opened; in force
	 * while the log may be behind it.
	 */
	struct core_document kept;
	bool document_due; /* a document was applied and not yet sent */
	uint64_t sent_index; /* of the last document sent to all */
	unsigned applied_count; /* documents applied since then */
	struct str_buf departures_due; /* applied and not yet sent */
	/* as kept, of evacuations */
	struct evacuation_set kept_evacuations;
	bool evacuations_due; /* a change that was not yet sent */
	uint64_t sent_evacuations; /* index of the last set sent to all */
	bool cache_dirty;
	uint64_t next_cache_us; /* earliest time of the next write */
	struct core_cache_job *cache_job; /* a write under way; NULL: none */
	GHashTable *estimates; /* service -> Fleet__Estimate; NULL: none */
	struct str_buf updates; /* for all subscribers, sent at the next tick */
	struct str_buf control_updates; /* for control instances only */
	unsigned entry_count; /* connected here */
	unsigned most_processor_millis; /* highest of any entry so far */
	/* The packed document, without and with its text. */
	struct packed_frame *packed_document[2];
	uint64_t packed_index;
	unsigned lookups; /* number answered */
	uint64_t liveness_due_us; /* next lists of live targets */
	/* The replica; NULL without a disk or after a failure. */
	struct replica *replica;
	struct replica_storage storage;
	struct replica_info info;
	uint64_t replica_id;
	uint64_t announced_replica_id; /* id last sent to neighbours */
	bool rejoin_due; /* discard the replica, join under a new id */
	uint64_t reopen_us; /* when a stopped replica is reopened */
	struct group_keeper keeper; /* of the replica's group */
	uint64_t next_join_us;
	uint64_t next_members_us;
	char leader_address[64]; /* as reported by others, without a replica */
	/* Link addresses of the members, as last reported by one of them. */
	GPtrArray *reported_members;
	uint64_t last_request;
	GHashTable *pending_requests; /* by core_pending_request.request */
	struct proposal_list proposals;
	/* departures that entries have asked for: id -> struct asked_departure */
	GHashTable *asked_departures;
	struct core_allowance allowance;
	struct log_limiter log_limiter; /* of lines about peers and targets */
	struct counter *edits;
	struct counter *texts_sent;
	struct counter *departures;
	struct counter *announcements;
	struct counter *refused; /* announcements */
	struct minute_log refused_log; /* by target id */
	struct counter *ignored; /* calls of earlier or departed starts */
	struct minute_log ignored_log; /* by target id */
	struct counter *messages_refused;
	struct minute_log messages_log; /* by sender */
	struct counter *is_leader;
	struct counter *log_sync_ms;
	bool disk_is_slow; /* as logged last */
	struct counter *without_quorum;
	GHashTable *gone_voters; /* link address -> its struct counter */
	uint64_t without_quorum_us; /* since when; 0: it is not */
	uint64_t next_quorum_log_us;
	uint64_t next_report_us;
	struct counter *evacuations;
	struct crash_ledger *crash_ledger;
	struct quarantine *quarantine;
	struct counter *quarantines;
};

enum {
	CORE_PATH_BYTES = 512
};

/* core_folder.c: the data folder apart from the log */
extern const char core_log_folder[];
void
core_path(const struct core *core, const char *name, char out[CORE_PATH_BYTES]);
enum status core_sync_folder(const char *path);
/* Returns whether the file was replaced durably. */
bool core_replace_file(
    const char *folder, const char *name, struct str text) ATTR_UNUSED_RESULT;
enum status
core_read_id(const struct core *core, uint64_t *id) ATTR_UNUSED_RESULT;
enum status core_write_id(const struct core *core, uint64_t id);
void core_remove_files(const char *path);
void core_discard_replica(const struct core *core);

/* Whether another line about a peer or a target may be logged now. */
bool core_may_log(struct core *core);

/* core_replica.c */
enum status core_replica_open(struct core *core) ATTR_UNUSED_RESULT;
void core_replica_close(struct core *core);
void core_replica_tick(struct core *core, uint64_t now_us);
enum status core_replica_message(
    struct core *core, uint64_t from, const ProtobufCBinaryData *bytes);
bool core_has_lease(const struct core *core, uint64_t now_us);
const char *core_leader_address(const struct core *core);

/* core_quorum.c: reports the voters whose disks are gone */
void core_quorum_tick(struct core *core, uint64_t now_us);

/* core_entries.c */
Fleet__Hello *core_copy_hello(const Fleet__Hello *from);
void core_on_entry(struct core *core, const struct channel *channel,
    const Fleet__Entry *update);
void core_on_synced(struct core *core, const struct channel *channel);
void
core_drop_entries_from(struct core *core, struct core_neighbour *neighbour);
void core_entries_tick(struct core *core, uint64_t now_us);
void core_entry_free(void *value);

/* core_departure.c: departures that targets have announced to entries */
void core_departures_open(struct core *core);
void core_departures_close(struct core *core);
void core_on_asked_departure(struct core *core, const struct core_peer *peer,
    const Fleet__Departure *message);

/* core_estimate.c */
void core_on_estimate(struct core *core, const Fleet__Estimate *estimate);
void core_for_each_estimate(const struct core *core,
    void (*callback)(void *ctx, Fleet__Estimate *estimate), void *ctx);
void core_estimates_close(struct core *core);

/* core_warm_start.c */
Fleet__Document core_latest_document(const struct core *core);
/* Keeps what is in force, before the replica is opened again. */
void core_keep_state(struct core *core);
/* Drops the kept document, once the log holds all that was committed. */
void core_drop_kept_document(struct core *core);
/* Saves the document and the targets if they have changed. */
void core_cache_tick(struct core *core, uint64_t now_us);
void core_cache_load(struct core *core);
void core_cache_close(struct core *core);

/* core_liveness.c: expiry of targets */
void core_liveness_tick(struct core *core, uint64_t now_us);
void core_on_heard(
    struct core *core, struct channel *channel, const Fleet__Heard *heard);
void core_on_unknown(
    struct core *core, struct channel *channel, const Fleet__Unknown *unknown);

/* core_link.c */
void
core_on_announcement(struct core *core, const Fleet__Announcement *message);
enum status core_link_open(struct core *core) ATTR_UNUSED_RESULT;
void core_link_close(struct core *core);
/* Applies an announcement and publishes it if it changes anything. */
void
core_apply_announcement(struct core *core, const struct roster_target *target);
struct core_neighbour *core_neighbour(struct core *core, const char *address);
void core_link_tick(struct core *core, uint64_t now_us);

/* core_push.c: messages to many peers, packed once for all */
void core_broadcast(struct core *core, struct str_buf *batch);
void core_push_members(struct core *core);
/* Sent by core_push_applied(). */
void core_queue_departure(
    struct core *core, const struct roster_departure *departure);
/* Sends the newest document and the queued departures, if there are any. */
void core_push_applied(struct core *core);
/* Without a log: passes on what an instance with a log has sent. */
void core_relay_departure(
    struct core *core, const struct roster_departure *departure);
/* Sent to subscribers at the next tick. */
void core_publish_entry(struct core *core, Fleet__Hello *hello, bool gone);
void
core_batch_target(struct str_buf *batch, const struct roster_target *target);
void core_publish_target(struct core *core, const struct roster_target *target);
void core_push_tick(struct core *core);
void core_push_close(struct core *core);

/* core_text.c: documents, of which only the newest is sent */
/* Sends the newest document to all peers, unless they have it. */
void core_push_document(struct core *core);
/* Sends a peer the newest document, or its announcement. */
void core_send_known_document(struct core *core, struct core_peer *peer);
/* Without a log: announces the document to entries. */
void core_relay_document(struct core *core);
void core_on_fetch(struct core *core, struct core_peer *peer);
void core_on_document_received(struct core *core, struct core_peer *peer,
    const Fleet__DocumentReceived *received);
void core_drop_packed_document(struct core *core);
void core_text_tick(struct core *core, uint64_t now_us);

/* core_allowance.c: this instance's share of the allowances of accounts */
void core_allowance_open(struct core *core);
void core_allowance_close(struct core *core);
/* A replica was opened. */
void core_allowance_on_opened(struct core *core);
void core_allowance_tick(struct core *core, uint64_t now_us);
/* core_share.c: the file that says which share this replica has held */
/* Returns the index in the file; 0 unless it is this replica's. */
uint64_t core_share_read(const struct core *core);
/* Writes a newer index on another thread, if there is one. */
void core_share_tick(struct core *core, uint64_t now_us);
/* Waits until a write that is under way has ended. */
void core_share_close(struct core *core);
/* core_floors.c: the file of levels that buckets have not gone below */
void core_floors_open(struct core *core);
void core_floors_close(struct core *core);
/* A replica was opened: reads its file, once in a process. */
void core_floors_on_opened(struct core *core);
/* The share is granted from; kept: as before the restart. */
void core_floors_on_granting(struct core *core, bool kept);
/* Writes changed floors on another thread, while the share is granted from. */
void core_floors_tick(struct core *core, uint64_t now_us);
/* Whether member number i of info.members holds a share. */
bool core_allowance_is_holder(const struct core *core, unsigned i);
void core_on_draw(
    struct core *core, const struct core_peer *peer, const Fleet__Draw *draw);
void core_on_draw_return(struct core *core, const struct core_peer *peer,
    const Fleet__DrawReturn *message);

/* core_crash.c: requests under which targets end */
void core_crash_open(struct core *core);
void core_crash_close(struct core *core);
void core_batch_quarantine(const struct core *core, struct str_buf *batch);
void core_on_crash(struct core *core, const Fleet__Crash *crash);
void core_on_quarantine(struct core *core, const Fleet__Quarantine *message);
void core_crash_restore(struct core *core, const Fleet__Quarantine *message);
void core_crash_tick(struct core *core, uint64_t now_us);

/* core_evacuation.c */
const struct evacuation_set *core_latest_evacuations(const struct core *core);
/* Keeps a set, or NULL, while the log may be behind it. */
void
core_keep_evacuations(struct core *core, const Fleet__Evacuations *message);
void core_release_evacuations(struct core *core);
void core_batch_evacuations(const struct core *core, struct str_buf *batch);
void core_push_evacuations(struct core *core);
void core_on_evacuations(struct core *core, const Fleet__Evacuations *message);

/* core_propose.c */
/* Proposes a command locally, or forwards it to the leader. */
void core_submit_command(
    struct core *core, Fleet__Command *command, core_done *done, void *ctx);
void core_propose_open(struct core *core);
void core_propose_close(struct core *core);
void core_on_propose(
    struct core *core, struct channel *from, const Fleet__Propose *propose);
void
core_on_read(struct core *core, struct channel *from, const Fleet__Read *read);
void core_on_result(struct core *core, const Fleet__Result *result);
void core_on_applied(struct core *core, uint64_t index, uint64_t term,
    enum core_outcome outcome);
void core_propose_tick(struct core *core, uint64_t now_us);
void
core_drop_channel_requests(struct core *core, const struct channel *channel);

#endif
