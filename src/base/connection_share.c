#include "base/connection_share.h"

#include <netinet/in.h>
#include <string.h>

enum {
	DEFAULT_DIVISOR = 2, /* part of all connections for one address */
	MAPPED_OFFSET = 12, /* of an IPv4 address in an IPv6 address */
	PREFIX_BYTES = 8,
	IPV4_BYTES = 4,
	HALF_BITS = 32 /* of a key */
};

void
connection_share_open(struct connection_share *share, unsigned connections_max,
    unsigned address_max)
{
	*share = (struct connection_share){
	    .counts = g_hash_table_new(NULL, NULL),
	};
	connection_share_set(share, connections_max, address_max);
}

void
connection_share_set(struct connection_share *share, unsigned connections_max,
    unsigned address_max)
{
	share->connections_max = connections_max > 0 ? connections_max : 1;
	share->address_max = address_max;
}

void
connection_share_close(struct connection_share *share)
{
	g_hash_table_destroy(share->counts);
	share->counts = NULL;
}

/*
 * Returns the key of an IPv6 prefix.  The hash of a key in the table is its lower
 * half: without the other one, all networks of a provider would have the same.
 */
static uint64_t
key_of_prefix(const void *bytes)
{
	uint64_t prefix;

	memcpy(&prefix, bytes, PREFIX_BYTES);
	return prefix ^ prefix >> HALF_BITS;
}

/*
 * Returns the key of an IPv4 address: it begins with a byte that only multicast
 * addresses of IPv6 begin with, which no peer has.
 */
static uint64_t
key_of_ipv4(const void *address)
{
	uint8_t bytes[PREFIX_BYTES] = {0xff};

	memcpy(bytes + PREFIX_BYTES - IPV4_BYTES, address, IPV4_BYTES);
	return key_of_prefix(bytes);
}

uint64_t
connection_share_key(const struct sockaddr *peer)
{
	const struct sockaddr_in6 *six = (const struct sockaddr_in6 *)peer;

	if (peer->sa_family == AF_INET)
		return key_of_ipv4(
		    &((const struct sockaddr_in *)peer)->sin_addr);
	if (peer->sa_family != AF_INET6)
		return 0;
	if (IN6_IS_ADDR_V4MAPPED(&six->sin6_addr))
		return key_of_ipv4(six->sin6_addr.s6_addr + MAPPED_OFFSET);
	return key_of_prefix(six->sin6_addr.s6_addr);
}

static unsigned
count_of(const struct connection_share *share, uint64_t key)
{
	return GPOINTER_TO_UINT(
	    g_hash_table_lookup(share->counts, GSIZE_TO_POINTER(key)));
}

static void
set_count(struct connection_share *share, uint64_t key, unsigned count)
{
	if (count == 0)
		g_hash_table_remove(share->counts, GSIZE_TO_POINTER(key));
	else
		g_hash_table_insert(share->counts, GSIZE_TO_POINTER(key),
		    GUINT_TO_POINTER(count));
}

void
connection_share_add(struct connection_share *share, uint64_t key)
{
	set_count(share, key, count_of(share, key) + 1);
}

void
connection_share_remove(struct connection_share *share, uint64_t key)
{
	unsigned count = count_of(share, key);

	if (count > 0)
		set_count(share, key, count - 1);
}

unsigned
connection_share_max(const struct connection_share *share)
{
	unsigned max = share->connections_max;

	if (share->address_max > 0)
		return share->address_max < max ? share->address_max : max;
	if (g_hash_table_size(share->counts) <= 1)
		return max;
	return max > DEFAULT_DIVISOR ? max / DEFAULT_DIVISOR : 1;
}

unsigned
connection_share_excess(const struct connection_share *share, uint64_t key)
{
	unsigned count = count_of(share, key);
	unsigned max = connection_share_max(share);

	/* The bound of all connections is the listener's own rule. */
	if (max == share->connections_max)
		return 0;
	return count > max ? count - max : 0;
}
