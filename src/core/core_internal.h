/*
 * What the parts of a control instance share.  Only its loop uses it.
 */
#ifndef CORE_CORE_INTERNAL_H
#define CORE_CORE_INTERNAL_H

#include <glib.h>

#include "base/counter.h"
#include "base/log_limiter.h"
#include "core/core.h"
#include "core/core_state.h"
#include "net/channel.h"
#include "replica/replica.h"
#include "replica/storage.h"

/* The other end of an accepted channel. */
struct core_peer {
	struct channel *channel;
	bool greeted;
	bool greet_due; /* it is told what is known at the next tick */
	bool is_control;
	bool wants_all; /* targets and entries too */
	uint64_t replica; /* 0: an entry, or a control without a disk */
	Fleet__Hello *hello; /* owned */
};

/* An entry as other control instances tell of it. */
struct core_entry {
	Fleet__Hello *hello; /* owned */
	uint64_t sources; /* bit per neighbour that has it connected */
};

/* Another control instance that is dialled. */
struct core_neighbour {
	struct channel *channel;
	char address[64];
	uint64_t seen_us; /* when somebody named it last */
	unsigned bit; /* as a source of entries */
	bool synced;
};

/* Who waits for a command of its own, or for one handed to the leader. */
struct core_waiter {
	uint64_t request;
	uint64_t index; /* of the log; 0 until known */
	uint64_t term;
	uint64_t deadline_us;
	core_done *done; /* a local caller's */
	core_read_done *read_done;
	void *ctx;
	uint64_t peer_request; /* of a peer that handed the command over */
	struct channel *peer; /* NULL: a local caller */
};

struct core {
	uv_loop_t *loop;
	struct core_settings settings;
	struct channel_listener *listener;
	uv_timer_t timer;
	uv_prepare_t prepare;
	GPtrArray *peers; /* of struct core_peer */
	GHashTable *neighbours; /* link address -> struct core_neighbour */
	unsigned neighbour_bits;
	GHashTable *entries; /* datagram address -> struct core_entry */
	GHashTable *addresses; /* replica id -> link address */
	GHashTable *replicas_heard; /* replica id -> uint64_t, last message */
	struct roster *roster;
	struct core_state state;
	Fleet__Cache *cache; /* of the last run; NULL once the log knows more */
	bool cache_dirty;
	uint64_t cache_us; /* when the cache may be written next */
	struct str_buf news; /* for all who want all, told at the next tick */
	struct str_buf control_news; /* of other entries, for control alone */
	unsigned entry_count; /* connected here */
	unsigned most_millis; /* the most processor time of an entry, ever */
	/* The document as it is sent: named only, and with its text. */
	struct packed_frame *packed_document[2];
	uint64_t packed_index;
	unsigned lookups; /* answered */
	uint64_t heard_due_us; /* when others are told next who was heard of */
	/* The replica; NULL on an instance without a disk. */
	struct replica *replica;
	struct replica_storage storage;
	struct replica_info info;
	uint64_t replica_id;
	uint64_t greeted_as; /* the id that neighbours were told last */
	bool reset_due; /* removed from the group: join anew */
	uint64_t reopen_us; /* when a stopped replica is opened again */
	uint64_t joiner_us;
	uint64_t joiner_id;
	char joiner_address[64];
	uint64_t duty_us;
	uint64_t join_us;
	uint64_t members_us;
	char leader_address[64]; /* as others say, without a replica */
	uint64_t last_request;
	GHashTable *waiters; /* request -> struct core_waiter */
	struct log_limiter log_limiter; /* for lines on peers and targets */
	struct counter *edits;
	struct counter *departures;
	struct counter *announcements;
	struct counter *is_leader;
};

enum {
	CORE_PATH_BYTES = 512
};

/* core_folder.c: what lies in the data folder beside the log. */
extern const char core_log_folder[];
void
core_path(const struct core *core, const char *name, char out[CORE_PATH_BYTES]);
enum status core_sync_folder(const char *path);
uint64_t core_read_id(const struct core *core);
enum status core_write_id(const struct core *core, uint64_t id);
void core_empty_folder(const char *path);
void core_empty_data(const struct core *core);

/* Whether one more line on a peer or a target may be logged now. */
bool core_may_log(struct core *core);

/* core_replica.c */
enum status core_replica_open(struct core *core) ATTR_UNUSED_RESULT;
void core_replica_close(struct core *core);
void core_replica_tick(struct core *core, uint64_t now_us);
void core_replica_message(
    struct core *core, uint64_t from, const ProtobufCBinaryData *bytes);
bool core_leads(const struct core *core, uint64_t now_us);
const char *core_leader_address(const struct core *core);

/* core_entries.c */
Fleet__Hello *core_copy_hello(const Fleet__Hello *from);
void core_on_entry(
    struct core *core, const struct channel *channel, const Fleet__Entry *news);
void core_on_synced(struct core *core, const struct channel *channel);
void
core_forget_told(struct core *core, const struct core_neighbour *neighbour);
void core_entry_free(void *value);

/* core_known.c */
Fleet__Document core_known_document(const struct core *core);
/* Saves what is known for the next start, if it has changed. */
void core_cache_tick(struct core *core, uint64_t now_us);
void core_cache_load(struct core *core);

/* core_heard.c: which targets stay known. */
void core_heard_tick(struct core *core, uint64_t now_us);
void core_on_heard(struct core *core, const Fleet__Heard *heard);

/* core_link.c */
void
core_on_announcement(struct core *core, const Fleet__Announcement *message);
enum status core_link_open(struct core *core) ATTR_UNUSED_RESULT;
void core_link_close(struct core *core);
/* Takes an announcement and tells the others when it is news. */
void
core_take_announcement(struct core *core, const struct roster_target *target);
struct core_neighbour *core_neighbour(struct core *core, const char *address);
void core_link_tick(struct core *core, uint64_t now_us);

/* core_push.c: what the other processes are told, and how often it is packed */
/* To all who have greeted, at once. */
void core_push_departure(
    struct core *core, const struct roster_departure *departure);
void core_push_members(struct core *core);
/* The text goes to entries of this failure domain; others ask if they must. */
void core_push_document(struct core *core);
void core_send_document(struct core *core, const struct core_peer *peer);
/* At the next tick, to those who want all. */
void core_tell_entry(struct core *core, Fleet__Hello *hello, bool gone);
void core_tell_target(struct core *core, const struct roster_target *target);
void core_push_tick(struct core *core);
void core_push_close(struct core *core);

/* core_propose.c */
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
void core_forget_channel(struct core *core, const struct channel *channel);

#endif
