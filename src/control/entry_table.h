/*
 * The leader's table of entries: heartbeats, document leases, the view index
 * that each has installed, and its share of the fleet-wide limits.  Time is an
 * argument; no I/O.
 *
 * A lease and a share are valid from the time the entry sent its heartbeat.
 * The sum of all shares in force never exceeds 1 (limit/share.h).
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

/* What lookups return for an entry. */
struct entry_listing {
	char address[ENTRY_NAME_BYTES];
	char failure_domain[ENTRY_NAME_BYTES];
	uint64_t incarnation;
	uint32_t spare_eighths;
	bool leaving;
	bool live;
	uint64_t version; /* version of the list that last changed it */
	uint64_t spare_us; /* when the listing last changed */
};

struct entry_record {
	char name[ENTRY_NAME_BYTES];
	struct entry_listing reported; /* from its last heartbeat */
	struct entry_listing listed;
	uint64_t applied_index;
	uint64_t heartbeat_us; /* time of the last one, leader's clock */
	uint64_t lease_until_us; /* end of the lease, leader's clock; 0: none */
	uint32_t share_divisor; /* 0: no share */
	unsigned share_member; /* index in the share table */
	uint64_t heartbeat_sent_us; /* of the last one, entry's clock */
	uint64_t lease_sent_us; /* of the heartbeat that got the lease */
	bool connected; /* peer is valid */
	struct transport_peer peer;
};

struct entry_table;

struct entry_table *entry_table_new(void);
void entry_table_free(struct entry_table *table);
/*
 * Clears the table for a leader that starts at now_us. first: no other leader
 * has ever granted a lease.
 */
void
entry_table_reset(struct entry_table *table, const struct share_params *shares,
    bool first, uint64_t now_us) ATTR_NONNULL_ALL;
/* Adds an entry that holds targets or claims but has sent no heartbeat yet. */
void entry_table_expect(struct entry_table *table, struct str name,
    uint64_t incarnation, uint64_t now_us) ATTR_NONNULL(1);
/*
 * Processes a heartbeat.  *lost_incarnation gets the incarnation that it
 * replaced, or 0.  Returns NULL for a heartbeat that is malformed or of an
 * older incarnation, and when the table is full.
 */
struct entry_record *entry_table_heartbeat(struct entry_table *table,
    const Wire__Heartbeat *beat, const struct transport_peer *peer,
    uint64_t now_us, uint64_t *lost_incarnation) ATTR_NONNULL_ALL;
/*
 * Grants a lease and a share.  Returns false if no share is free yet; the entry
 * asks again with its next heartbeat.
 */
bool entry_table_grant(struct entry_table *table, struct entry_record *entry,
    uint64_t now_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Returns whether all entries that may serve have installed the view at index.
 */
bool entry_table_in_force(const struct entry_table *table, uint64_t index,
    uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Removes one entry that has been silent for lost_us and copies it to *lost;
 * false if there is none.
 */
bool entry_table_remove_lost(struct entry_table *table, uint64_t now_us,
    uint64_t lost_us, struct entry_record *lost) ATTR_NONNULL_ALL;
/*
 * Updates the list of entries for lookups and returns its version.
 */
uint64_t entry_table_refresh_list(
    struct entry_table *table, uint64_t now_us) ATTR_NONNULL_ALL;
/*
 * Fills the changes that a reader at a version lacks and returns their count:
 * the changes since *base, or the whole list with *base 0. infos and list must
 * have room for every entry; the strings are borrowed.
 */
size_t entry_table_list_since(const struct entry_table *table, uint64_t version,
    uint64_t *base, Wire__EntryInfo *infos,
    Wire__EntryInfo **list) ATTR_NONNULL_ALL;
/*
 * Returns the number of known entries, live or not; indexes change with
 * entry_table_remove_lost().
 */
unsigned entry_table_count(const struct entry_table *table) ATTR_NONNULL_ALL;
const struct entry_record *
entry_table_at(const struct entry_table *table, unsigned i) ATTR_NONNULL_ALL;
const struct entry_record *entry_table_find(
    const struct entry_table *table, struct str name) ATTR_NONNULL(1);
/*
 * Returns whether an entry that the table lacks may run nevertheless: it is known
 * from its first heartbeat to this leader, which has led for less than lost_us.
 */
bool entry_table_may_lack(const struct entry_table *table, uint64_t lost_us,
    uint64_t now_us) ATTR_NONNULL_ALL;
/* Returns whether the lease that the leader granted is still valid. */
bool entry_record_live(
    const struct entry_record *entry, uint64_t now_us) ATTR_NONNULL_ALL;

#endif
