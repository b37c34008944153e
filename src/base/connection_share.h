/*
 * Decisions: how many connections of a listener one address may have.  An
 * address is an IPv4 address, or the first 64 bits of an IPv6 address, which
 * one host or network has to itself.
 */
#ifndef BASE_CONNECTION_SHARE_H
#define BASE_CONNECTION_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "base/attr.h"

struct connection_share {
	GHashTable *counts; /* address key -> connections */
	unsigned connections_max; /* of all addresses */
	unsigned address_max; /* of one; 0: the default rule */
};

void connection_share_open(struct connection_share *share,
    unsigned connections_max, unsigned address_max) ATTR_NONNULL_ALL;
/* Sets the bounds anew; the counts stay. */
void connection_share_set(struct connection_share *share,
    unsigned connections_max, unsigned address_max) ATTR_NONNULL_ALL;
void connection_share_close(struct connection_share *share) ATTR_NONNULL_ALL;
/* Returns the key of a peer's address. */
uint64_t connection_share_key(const struct sockaddr *peer) ATTR_NONNULL_ALL;
void connection_share_add(
    struct connection_share *share, uint64_t key) ATTR_NONNULL_ALL;
void connection_share_remove(
    struct connection_share *share, uint64_t key) ATTR_NONNULL_ALL;
/*
 * Returns how many connections one address may have now: the setting, or half
 * of all while more than one address is connected, or all.
 */
unsigned
connection_share_max(const struct connection_share *share) ATTR_NONNULL_ALL;
/* Returns by how many connections an address is above that. */
unsigned connection_share_excess(
    const struct connection_share *share, uint64_t key) ATTR_NONNULL_ALL;

#endif
