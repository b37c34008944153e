#include "document/policy_index.h"

#include <string.h>

#include "base/memory.h"
#include "base/str_key.h"

struct tenant_record {
	const struct policy_section *section;
	const struct policy_tenant *tenant;
};

struct policy_index {
	GHashTable *hosts; /* struct str to GPtrArray of sections */
	GHashTable *services; /* struct str to section */
	GHashTable *tenants; /* token digest to struct tenant_record */
	struct tenant_record *tenant_records;
};

/*
 * Hashes a SHA-256 digest by its first bytes, which are uniformly distributed.
 */
guint
policy_index_hash_digest(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

/*
 * Returns whether two SHA-256 digests are equal.  Not constant-time.
 */
gboolean
policy_index_equal_digests(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, POLICY_DIGEST_BYTES) == 0;
}

/* Frees the list of a host, but not the sections in it. */
static void
free_sections(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

/* Adds a section to the list of a host; host is borrowed as the key. */
static void
add_host(struct policy_index *index, struct str *host,
    struct policy_section *section)
{
	GPtrArray *sections = g_hash_table_lookup(index->hosts, host);

	if (sections == NULL) {
		sections = g_ptr_array_new();
		g_hash_table_insert(index->hosts, host, sections);
	}
	g_ptr_array_add(sections, section);
}

/* Adds a service under its name and each of its hosts. */
static void
add_service(struct policy_index *index, struct policy_section *section)
{
	struct policy_service *service = &section->service;

	g_hash_table_insert(index->services, &service->name, section);
	for (uint32_t i = 0; i < service->host_count; i++)
		add_host(index, &service->hosts[i], section);
}

/*
 * Adds a section's tenants, using one record for each; returns the next unused
 * record.
 */
static struct tenant_record *
add_tenants(struct policy_index *index, struct policy_section *section,
    struct tenant_record *record)
{
	for (uint32_t i = 0; i < section->tenant_count; i++, record++) {
		record->section = section;
		record->tenant = &section->tenants[i];
		g_hash_table_insert(
		    index->tenants, section->tenants[i].token_digest, record);
	}
	return record;
}

/* Returns the number of tenants in all sections. */
static uint32_t
count_tenants(const struct policy *policy)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < policy->section_count; i++)
		count += policy->sections[i]->tenant_count;
	return count;
}

/*
 * Builds the tables, which borrow the policy's strings.
 */
struct policy_index *
policy_index_new(const struct policy *policy)
{
	struct policy_index *index = mem_calloc(1, sizeof(*index));
	struct tenant_record *record;

	index->hosts = g_hash_table_new_full(
	    str_key_hash, str_key_equal, NULL, free_sections);
	index->services = g_hash_table_new(str_key_hash, str_key_equal);
	index->tenants = g_hash_table_new(
	    policy_index_hash_digest, policy_index_equal_digests);
	index->tenant_records =
	    mem_calloc(count_tenants(policy), sizeof(*index->tenant_records));
	record = index->tenant_records;
	for (uint32_t i = 0; i < policy->section_count; i++) {
		struct policy_section *section = policy->sections[i];

		if (section->kind == POLICY_SERVICE)
			add_service(index, section);
		else if (section->kind == POLICY_TENANTS)
			record = add_tenants(index, section, record);
	}
	return index;
}

/*
 * Frees the tables, but not the policy's strings.
 */
void
policy_index_free(struct policy_index *index)
{
	g_hash_table_destroy(index->hosts);
	g_hash_table_destroy(index->services);
	g_hash_table_destroy(index->tenants);
	mem_free(index->tenant_records);
	mem_free(index);
}

/*
 * Returns the sections that serve a host in lower case, in name order, and sets
 * *count; NULL and 0 if there are none.  Borrowed from the index.
 */
const struct policy_section *const *
policy_index_find_by_host(
    const struct policy_index *index, struct str host, uint32_t *count)
{
	const GPtrArray *sections = g_hash_table_lookup(index->hosts, &host);

	*count = sections != NULL ? sections->len : 0;
	return sections != NULL
	    ? (const struct policy_section *const *)sections->pdata
	    : NULL;
}

/*
 * Finds a service's section by the service's name; NULL when there is none.
 */
const struct policy_section *
policy_index_find_service(const struct policy_index *index, struct str name)
{
	return g_hash_table_lookup(index->services, &name);
}

/*
 * Finds a tenant by the SHA-256 of its token and sets *section to its section;
 * NULL, with *section unchanged, when no tenant has the token.
 */
const struct policy_tenant *
policy_index_find_tenant(const struct policy_index *index,
    const uint8_t digest[POLICY_DIGEST_BYTES],
    const struct policy_section **section)
{
	const struct tenant_record *record =
	    g_hash_table_lookup(index->tenants, digest);

	if (record == NULL)
		return NULL;
	*section = record->section;
	return record->tenant;
}
