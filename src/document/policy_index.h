/*
 * Hash tables of a policy's hosts, services and tenants.  Read-only once built,
 * so that concurrent lookups need no lock.
 */
#ifndef DOCUMENT_POLICY_INDEX_H
#define DOCUMENT_POLICY_INDEX_H

#include <glib.h>

#include "document/policy.h"

struct policy_index *
policy_index_new(const struct policy *policy) ATTR_NONNULL_ALL;
void policy_index_free(struct policy_index *index);
/* Returns the sections that serve a host in lower case; *count may be 0. */
const struct policy_section *const *
policy_index_find_by_host(const struct policy_index *index, struct str host,
    uint32_t *count) ATTR_NONNULL_ALL;
const struct policy_section *policy_index_find_service(
    const struct policy_index *index, struct str name) ATTR_NONNULL_ALL;
const struct policy_tenant *policy_index_find_tenant(
    const struct policy_index *index, const uint8_t digest[POLICY_DIGEST_BYTES],
    const struct policy_section **section) ATTR_NONNULL_ALL;
/* GLib hash and equality functions for token digests. */
guint policy_index_hash_digest(gconstpointer key);
gboolean policy_index_equal_digests(gconstpointer a, gconstpointer b);

#endif
