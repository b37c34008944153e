/*
 * The entries as the leader sees them: heartbeats, document leases, what
 * each has installed, and its share of the fleet-wide limits.  Time is an
 * argument; no I/O.
 *
 * A lease and a share hold from the entry's own heartbeat on.  The sum of
 * all shares in force never exceeds 1 (limit/share.h).
 */
#ifndef CONTROL_ENTRY_TABLE_H
#define CONTROL_ENTRY_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "limit/share.h"
#include "link/transport.h"
#include "wire/wire.pb-c.h"

enum {
	ENTRY_NAME_BYTES = 64
};

/* What lookups are told of an entry. */
struct entry_listing {
	char address[ENTRY_NAME_BYTES];
	char failure_domain[ENTRY_NAME_BYTES];
	uint64_t incarnation;
	uint32_t spare_eighths;
	bool leaving;
	bool live;
	uint64_t version; /* of the list with its last change */
	uint64_t spare_us; /* when spare_eighths was listed */
};

struct entry_record {
	char name[ENTRY_NAME_BYTES];
	struct entry_listing reported; /* as its last heartbeat says */
	struct entry_listing listed;
	uint64_t applied_index;
	uint64_t heartbeat_us; /* last one, leader's clock */
	uint64_t lease_until_us; /* leader's clock; 0: none granted */
	uint32_t share_divisor; /* 0: holds no share */
	unsigned share_member; /* place in the table of shares */
	uint64_t heartbeat_sent_us; /* entry's clock, of its last heartbeat */
	uint64_t lease_sent_us; /* of the heartbeat the last lease answers */
	bool connected; /* peer is valid */
	struct transport_peer peer;
};

struct entry_table;

struct entry_table *entry_table_new(void);
void entry_table_free(struct entry_table *table);
/*
 * Forgets all entries: a new leader starts at now.  first: no other leader
 * has ever granted a lease.
 */
void
entry_table_reset(struct entry_table *table, const struct share_params *shares,
    bool first, uint64_t now_us) ATTR_NONNULL_ALL;
/* An entry that holds targets or claims but has not been heard of. */
void entry_table_expect(struct entry_table *table, struct str name,
    uint64_t incarnation, uint64_t now_us) ATTR_NONNULL(1);
/*
 * Notes a heartbeat.  *lost_incarnation gets the incarnation that this one
 * replaced, or 0.  Returns NULL for a heartbeat that is malformed or of an
 * older incarnation.
 */
struct entry_record *entry_table_heartbeat(struct entry_table *table,
    const Wire__Heartbeat *beat, const struct transport_peer *peer,
    uint64_t now_us, uint64_t *lost_incarnation) ATTR_NONNULL_ALL;
/*
 * Grants a lease and a share.  False when no share is free yet: the entry
 * asks again with its next heartbeat.
 */
bool entry_table_grant(struct entry_table *table, struct entry_record *entry,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Have all entries that may serve installed the view at index? */
bool entry_table_in_force(const struct entry_table *table, uint64_t index,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Takes an entry unheard of for lost_us out of the table. */
bool entry_table_remove_lost(struct entry_table *table, uint64_t now_us,
    uint64_t lost_us, struct entry_record *lost) ATTR_NONNULL_ALL;
/*
 * Brings the list of entries that lookups may name up to date and returns
 * its version.
 */
uint64_t entry_table_refresh_list(
    struct entry_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Fills the entries that a reader of a version lacks and returns their
 * count: changes since *base, or the whole list, with *base 0.  infos and
 * list have room for every entry; the texts are borrowed.
 */
size_t entry_table_list_since(const struct entry_table *table, uint64_t version,
    uint64_t *base, Wire__EntryInfo *infos,
    Wire__EntryInfo **list) ATTR_NONNULL_ALL;
/* Entries known, live or not; their places change with entry_table_remove_lost(). */
unsigned entry_table_count(const struct entry_table *table) ATTR_NONNULL_ALL;
const struct entry_record *
entry_table_at(const struct entry_table *table, unsigned i) ATTR_NONNULL_ALL;
const struct entry_record *entry_table_find(
    const struct entry_table *table, struct str name) ATTR_NONNULL(1);
/* True while the lease that the leader granted runs. */
bool entry_record_live(
    const struct entry_record *entry, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
