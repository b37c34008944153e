#include "control/entry_table.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"

enum {
	ENTRIES_MAX = SHARE_MEMBERS_MAX
};

/*
 * A change of spare capacity is listed at most this often, and only if it is at
 * least this large.
 */
static const uint64_t spare_interval_us = 5 * US_PER_S;
static const uint32_t spare_change_min_eighths = 2;

struct entry_table {
	struct entry_record *entries;
	unsigned count;
	bool member_used[SHARE_MEMBERS_MAX];
	struct share_table shares;
	uint64_t reset_us; /* this leader's start */
	uint64_t older_leases_end_us; /* earlier leaders' leases end */
	uint64_t version;
	uint64_t oldest_base_version; /* changes since then are known */
};

/*
 * Returns an empty table that grants nothing before entry_table_reset(); freed
 * with entry_table_free().
 */
struct entry_table *
entry_table_new(void)
{
	struct entry_table *table = mem_calloc(1, sizeof(*table));

	table->entries = mem_calloc(ENTRIES_MAX, sizeof(*table->entries));
	return table;
}

/*
 * Frees the table; NULL is allowed.
 */
void
entry_table_free(struct entry_table *table)
{
	if (table == NULL)
		return;
	mem_free(table->entries);
	mem_free(table);
}

/*
 * Clears the table for a leader that starts at now_us.  If first is set, no
 * earlier leader has granted a lease; otherwise such leases may be valid for
 * another lease_us.
 */
void
entry_table_reset(struct entry_table *table, const struct share_params *shares,
    bool first, uint64_t now_us)
{
	table->count = 0;
	table->reset_us = now_us;
	memset(table->member_used, 0, sizeof(table->member_used));
	share_table_init(&table->shares, shares, first, now_us);
	table->older_leases_end_us = first ? now_us : now_us + shares->lease_us;
	/* Lists of different leaders must not have the same version. */
	table->version = clock_wall_us();
	table->oldest_base_version = table->version;
}

/*
 * Returns the entry with that name or NULL.
 */
static struct entry_record *
find(struct entry_table *table, struct str name)
{
	for (unsigned i = 0; i < table->count; i++) {
		if (str_equal_c(name, table->entries[i].name))
			return &table->entries[i];
	}
	return NULL;
}

/*
 * Returns the entry with that name or NULL; valid until the table next changes.
 */
const struct entry_record *
entry_table_find(const struct entry_table *table, struct str name)
{
	return find((struct entry_table *)table, name);
}

/*
 * Copies a string, truncated to ENTRY_NAME_BYTES.
 */
static void
copy_text(char out[ENTRY_NAME_BYTES], const char *text)
{
	snprintf(out, ENTRY_NAME_BYTES, "%s", text);
}

/*
 * Allocates the lowest free index in the share table; there is one for every
 * entry.
 */
static unsigned
take_member(struct entry_table *table)
{
	unsigned member = 0;

	while (table->member_used[member])
		member++;
	table->member_used[member] = true;
	return member;
}

/*
 * Adds an entry, last seen at now_us.  Returns NULL if the table is full or the
 * name is empty or too long.
 */
static struct entry_record *
add(struct entry_table *table, struct str name, uint64_t now_us)
{
	struct entry_record *entry;

	if (table->count == ENTRIES_MAX || name.len == 0 ||
	    name.len >= ENTRY_NAME_BYTES)
		return NULL;
	entry = &table->entries[table->count++];
	*entry = (struct entry_record){.heartbeat_us = now_us};
	entry->share_member = take_member(table);
	memcpy(entry->name, name.data, name.len);
	return entry;
}

/*
 * Adds an entry that holds targets or claims before its first heartbeat, so
 * that it can be declared lost.  It is ignored if the table is full.
 */
void
entry_table_expect(struct entry_table *table, struct str name,
    uint64_t incarnation, uint64_t now_us)
{
	struct entry_record *entry = find(table, name);

	if (entry == NULL)
		entry = add(table, name, now_us);
	if (entry != NULL && incarnation > entry->reported.incarnation)
		entry->reported.incarnation = incarnation;
}

/*
 * Stores what a heartbeat reports for the list of entries.
 */
static void
update_reported(struct entry_record *entry, const Wire__EntryInfo *info)
{
	copy_text(entry->reported.address, info->address);
	copy_text(entry->reported.failure_domain, info->failure_domain);
	entry->reported.leaving = info->leaving;
	entry->reported.spare_eighths = info->spare_eighths;
}

/*
 * Processes a heartbeat at now_us and returns its entry, valid until the table
 * next changes.  A newer incarnation has no lease yet: *lost_incarnation gets
 * the one it replaced, else 0.  Returns NULL if the heartbeat is malformed or
 * of an older incarnation, or the table is full.
 */
struct entry_record *
entry_table_heartbeat(struct entry_table *table, const Wire__Heartbeat *beat,
    const struct transport_peer *peer, uint64_t now_us,
    uint64_t *lost_incarnation)
{
	const Wire__EntryInfo *info = beat->entry;
	struct entry_record *entry;

	*lost_incarnation = 0;
	if (info == NULL)
		return NULL;
	entry = find(table, str_from(info->name));
	if (entry == NULL)
		entry = add(table, str_from(info->name), now_us);
	if (entry == NULL || info->incarnation < entry->reported.incarnation)
		return NULL;
	if (info->incarnation > entry->reported.incarnation) {
		*lost_incarnation = entry->reported.incarnation;
		entry->reported.incarnation = info->incarnation;
		entry->lease_until_us = 0;
		entry->lease_sent_us = 0;
		share_remove_member(&table->shares, entry->share_member);
	}
	/* Only the newest lease determines which share the entry uses. */
	if (entry->lease_sent_us == 0 ||
	    entry->lease_sent_us == beat->lease_sent_us)
		share_confirm(&table->shares, entry->share_member,
		    beat->share_divisor, beat->lease_live, now_us);
	entry->heartbeat_sent_us = beat->sent_us;
	entry->connected = true;
	entry->peer = *peer;
	entry->heartbeat_us = now_us;
	entry->applied_index = beat->applied_index;
	update_reported(entry, info);
	return entry;
}

/*
 * Returns whether the lease last granted is still valid at now_us, by the
 * leader's clock.
 */
bool
entry_record_live(const struct entry_record *entry, uint64_t now_us)
{
	return entry->lease_until_us > now_us;
}

/*
 * Grants a lease of lease_us and a share from now_us on.  Returns false if no
 * share is free yet; the entry asks again with its next heartbeat.
 */
bool
entry_table_grant(
    struct entry_table *table, struct entry_record *entry, uint64_t now_us)
{
	uint32_t divisor =
	    share_grant(&table->shares, entry->share_member, now_us);

	if (divisor == 0)
		return false;
	entry->share_divisor = divisor;
	entry->lease_sent_us = entry->heartbeat_sent_us;
	entry->lease_until_us = now_us + table->shares.params.lease_us;
	return true;
}

/*
 * Returns whether all entries that may serve at now_us have installed the view
 * at index.  False while a lease of an earlier leader may be valid.
 */
bool
entry_table_in_force(
    const struct entry_table *table, uint64_t index, uint64_t now_us)
{
	if (now_us < table->older_leases_end_us)
		return false;
	for (unsigned i = 0; i < table->count; i++) {
		const struct entry_record *entry = &table->entries[i];

		if (entry_record_live(entry, now_us) &&
		    entry->applied_index < index)
			return false;
	}
	return true;
}

/*
 * Removes one entry that has been silent for lost_us, copies it to *lost and
 * frees its share.  Returns false if there is none; call it until then.
 */
bool
entry_table_remove_lost(struct entry_table *table, uint64_t now_us,
    uint64_t lost_us, struct entry_record *lost)
{
	for (unsigned i = 0; i < table->count; i++) {
		if (table->entries[i].heartbeat_us + lost_us > now_us)
			continue;
		*lost = table->entries[i];
		share_remove_member(&table->shares, lost->share_member);
		table->member_used[lost->share_member] = false;
		/*
		 * Readers at an older version may still list the entry as
		 * live, so they need the whole list.
		 */
		table->oldest_base_version = table->version;
		table->entries[i] = table->entries[--table->count];
		return true;
	}
	return false;
}

/*
 * Returns whether an entry that the table lacks may run nevertheless: it is
 * known from its first heartbeat to this leader, which has led for less than
 * lost_us.
 */
bool
entry_table_may_lack(
    const struct entry_table *table, uint64_t lost_us, uint64_t now_us)
{
	return now_us < table->reset_us + lost_us;
}

/*
 * Returns whether spare capacity has changed by at least
 * spare_change_min_eighths since it was listed, at least spare_interval_us ago.
 */
static bool
spare_changed(const struct entry_record *entry, uint64_t now_us)
{
	uint32_t now = entry->reported.spare_eighths;
	uint32_t then = entry->listed.spare_eighths;

	return now_us >= entry->listed.spare_us + spare_interval_us &&
	    (now > then ? now - then : then - now) >= spare_change_min_eighths;
}

/*
 * Returns whether the listing of an entry for lookups has changed.  Of an entry
 * without a lease only the loss of the lease matters.
 */
static bool
listing_changed(const struct entry_record *entry, uint64_t now_us)
{
	const struct entry_listing *now = &entry->reported;
	const struct entry_listing *then = &entry->listed;

	if (now->live != then->live)
		return true;
	if (!now->live)
		return false;
	return now->leaving != then->leaving ||
	    now->incarnation != then->incarnation ||
	    strcmp(now->address, then->address) != 0 ||
	    strcmp(now->failure_domain, then->failure_domain) != 0 ||
	    spare_changed(entry, now_us);
}

/*
 * Lists the changes of the entries up to now_us and returns the version of the
 * list.
 */
uint64_t
entry_table_refresh_list(struct entry_table *table, uint64_t now_us)
{
	for (unsigned i = 0; i < table->count; i++) {
		struct entry_record *entry = &table->entries[i];

		entry->reported.live = entry_record_live(entry, now_us);
		if (!listing_changed(entry, now_us))
			continue;
		entry->listed = entry->reported;
		entry->listed.version = ++table->version;
		entry->listed.spare_us = now_us;
	}
	return table->version;
}

/*
 * Fills the message from the listing; its strings are borrowed from the entry.
 */
static void
fill_info(Wire__EntryInfo *info, const struct entry_record *entry)
{
	const struct entry_listing *listed = &entry->listed;

	wire__entry_info__init(info);
	info->name = (char *)entry->name;
	info->address = (char *)listed->address;
	info->failure_domain = (char *)listed->failure_domain;
	info->incarnation = listed->incarnation;
	info->leaving = listed->leaving;
	info->spare_eighths = listed->spare_eighths;
	info->gone = !listed->live;
}

/*
 * Fills what a reader at a version lacks and returns the count: the changes
 * since *base, or the whole list with *base 0 if the version is unknown here.
 * infos and list must have room for every entry; the strings are borrowed.
 */
size_t
entry_table_list_since(const struct entry_table *table, uint64_t version,
    uint64_t *base, Wire__EntryInfo *infos, Wire__EntryInfo **list)
{
	bool known =
	    version >= table->oldest_base_version && version <= table->version;
	size_t count = 0;

	*base = known ? version : 0;
	for (unsigned i = 0; i < table->count; i++) {
		const struct entry_record *entry = &table->entries[i];

		if (known ? entry->listed.version <= version
			  : !entry->listed.live)
			continue;
		fill_info(&infos[count], entry);
		list[count] = &infos[count];
		count++;
	}
	return count;
}

/*
 * Returns the number of known entries, live or not.
 */
unsigned
entry_table_count(const struct entry_table *table)
{
	return table->count;
}

/*
 * Returns entry i of entry_table_count(), valid until the table next changes.
 */
const struct entry_record *
entry_table_at(const struct entry_table *table, unsigned i)
{
	return &table->entries[i];
}
