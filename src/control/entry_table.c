#include "control/entry_table.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory.h"

enum {
	ENTRIES_MAX = SHARE_MEMBERS_MAX
};

/* Spare capacity is listed anew at most this often, and when it has moved by
 * this much. */
static const uint64_t spare_interval_us = 5 * US_PER_S;
static const uint32_t spare_step_eighths = 2;

struct entry_table {
	struct entry_record *entries;
	unsigned count;
	bool member_used[SHARE_MEMBERS_MAX];
	struct share_table shares;
	uint64_t settled_us; /* older leaders' leases have run out by then */
	uint64_t version;
	uint64_t oldest_base; /* changes since then are all known */
};

/*
 * Returns an empty table that grants nothing before entry_table_lead();
 * entry_table_free() releases it.
 */
struct entry_table *
entry_table_new(void)
{
	struct entry_table *table = mem_calloc(1, sizeof(*table));

	table->entries = mem_calloc(ENTRIES_MAX, sizeof(*table->entries));
	return table;
}

/*
 * Releases the table; NULL is allowed.
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
 * Forgets all entries: a new leader starts at now_us. first says that no
 * leader before has granted a lease; otherwise theirs may last another
 * lease_us.
 */
void
entry_table_lead(struct entry_table *table, const struct share_params *shares,
    bool first, uint64_t now_us)
{
	table->count = 0;
	memset(table->member_used, 0, sizeof(table->member_used));
	share_table_init(&table->shares, shares, first, now_us);
	table->settled_us = first ? now_us : now_us + shares->lease_us;
	/* Two leaders must not give two lists one version. */
	table->version = clock_wall_us();
	table->oldest_base = table->version;
}

/*
 * Returns the entry of that name or NULL.
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
 * Returns the entry of that name or NULL; borrowed until the table next
 * changes.
 */
const struct entry_record *
entry_table_find(const struct entry_table *table, struct str name)
{
	return find((struct entry_table *)table, name);
}

/*
 * Copies a text, cut to the room there is.
 */
static void
copy_text(char out[ENTRY_NAME_BYTES], const char *text)
{
	snprintf(out, ENTRY_NAME_BYTES, "%s", text);
}

/*
 * Takes the lowest free place in the table of shares; there is one for every
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
 * Adds an entry, heard of at now_us.  NULL when the table is full, or the name
 * empty or too long.
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
	entry->member = take_member(table);
	memcpy(entry->name, name.data, name.len);
	return entry;
}

/*
 * Makes an entry that holds targets or claims known before its first
 * heartbeat, so that it can be found lost.  A full table leaves it out.
 */
void
entry_table_expect(struct entry_table *table, struct str name,
    uint64_t incarnation, uint64_t now_us)
{
	struct entry_record *entry = find(table, name);

	if (entry == NULL)
		entry = add(table, name, now_us);
	if (entry != NULL && incarnation > entry->now.incarnation)
		entry->now.incarnation = incarnation;
}

/*
 * Notes what a heartbeat tells for the list of entries.
 */
static void
note_info(struct entry_record *entry, const Wire__EntryInfo *info)
{
	copy_text(entry->now.address, info->address);
	copy_text(entry->now.failure_domain, info->failure_domain);
	entry->now.leaving = info->leaving;
	entry->now.spare_eighths = info->spare_eighths;
}

/*
 * Notes a heartbeat at now_us and returns its entry, borrowed until the table
 * next changes.  A newer incarnation holds no lease yet: *lost_incarnation
 * gets the one it replaced, else 0.  Returns NULL when it is malformed, of an
 * older incarnation, or the table is full.
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
	if (entry == NULL || info->incarnation < entry->now.incarnation)
		return NULL;
	if (info->incarnation > entry->now.incarnation) {
		*lost_incarnation = entry->now.incarnation;
		entry->now.incarnation = info->incarnation;
		entry->lease_until_us = 0;
		entry->lease_sent_us = 0;
		share_remove_member(&table->shares, entry->member);
	}
	/* Only the newest lease settles which share the entry uses. */
	if (entry->lease_sent_us == 0 ||
	    entry->lease_sent_us == beat->lease_sent_us)
		share_confirm(&table->shares, entry->member,
		    beat->share_divisor, beat->lease_live, now_us);
	entry->beat_sent_us = beat->sent_us;
	entry->connected = true;
	entry->peer = *peer;
	entry->heartbeat_us = now_us;
	entry->applied_index = beat->applied_index;
	note_info(entry, info);
	return entry;
}

/*
 * Tells whether the lease last granted still runs at now_us, by the leader's
 * clock.
 */
bool
entry_record_live(const struct entry_record *entry, uint64_t now_us)
{
	return entry->lease_until_us > now_us;
}

/*
 * Grants a lease of lease_us and a share from now_us on.  Returns false when
 * no share is free yet; the entry asks again with its next heartbeat.
 */
bool
entry_table_grant(
    struct entry_table *table, struct entry_record *entry, uint64_t now_us)
{
	uint32_t divisor = share_grant(&table->shares, entry->member, now_us);

	if (divisor == 0)
		return false;
	entry->share_divisor = divisor;
	entry->lease_sent_us = entry->beat_sent_us;
	entry->lease_until_us = now_us + table->shares.params.lease_us;
	return true;
}

/*
 * Tells whether all entries that may serve at now_us have installed the view
 * at index.  False as long as a lease of an earlier leader may run.
 */
bool
entry_table_in_force(
    const struct entry_table *table, uint64_t index, uint64_t now_us)
{
	if (now_us < table->settled_us)
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
 * Takes one entry unheard of for lost_us out of the table and copies it to
 * *lost, with its share free again.  Returns false when there is none; call it
 * until then.
 */
bool
entry_table_take_lost(struct entry_table *table, uint64_t now_us,
    uint64_t lost_us, struct entry_record *lost)
{
	for (unsigned i = 0; i < table->count; i++) {
		if (table->entries[i].heartbeat_us + lost_us > now_us)
			continue;
		*lost = table->entries[i];
		share_remove_member(&table->shares, lost->member);
		table->member_used[lost->member] = false;
		/* Who has not yet heard that it is gone needs a whole list. */
		table->oldest_base = table->version;
		table->entries[i] = table->entries[--table->count];
		return true;
	}
	return false;
}

/*
 * Tells whether spare capacity has moved enough, and long enough after its
 * last listing, to be listed anew.
 */
static bool
spare_moved(const struct entry_record *entry, uint64_t now_us)
{
	uint32_t now = entry->now.spare_eighths;
	uint32_t then = entry->listed.spare_eighths;

	return now_us >= entry->listed.spare_us + spare_interval_us &&
	    (now > then ? now - then : then - now) >= spare_step_eighths;
}

/*
 * Tells whether lookups would be told something else of the entry than is
 * listed.  Of an entry without a lease only that matters.
 */
static bool
listing_changed(const struct entry_record *entry, uint64_t now_us)
{
	const struct entry_listing *now = &entry->now;
	const struct entry_listing *then = &entry->listed;

	if (now->live != then->live)
		return true;
	if (!now->live)
		return false;
	return now->leaving != then->leaving ||
	    now->incarnation != then->incarnation ||
	    strcmp(now->address, then->address) != 0 ||
	    strcmp(now->failure_domain, then->failure_domain) != 0 ||
	    spare_moved(entry, now_us);
}

/*
 * Lists what has changed of the entries by now_us and returns the version of
 * the list.
 */
uint64_t
entry_table_version(struct entry_table *table, uint64_t now_us)
{
	for (unsigned i = 0; i < table->count; i++) {
		struct entry_record *entry = &table->entries[i];

		entry->now.live = entry_record_live(entry, now_us);
		if (!listing_changed(entry, now_us))
			continue;
		entry->listed = entry->now;
		entry->listed.version = ++table->version;
		entry->listed.spare_us = now_us;
	}
	return table->version;
}

/*
 * Fills the message from the listing; its texts are borrowed from the entry.
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
 * Fills what a reader of a version lacks and returns the count: changes since
 * *base, or the whole list with *base 0 when its version is unknown here.
 * infos and list have room for every entry; the texts are borrowed.
 */
size_t
entry_table_list(const struct entry_table *table, uint64_t version,
    uint64_t *base, Wire__EntryInfo *infos, Wire__EntryInfo **list)
{
	bool known = version >= table->oldest_base && version <= table->version;
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
 * Returns how many entries are known, live or not.
 */
unsigned
entry_table_count(const struct entry_table *table)
{
	return table->count;
}

/*
 * Returns entry i of entry_table_count(), borrowed until the table next
 * changes.
 */
const struct entry_record *
entry_table_at(const struct entry_table *table, unsigned i)
{
	return &table->entries[i];
}
