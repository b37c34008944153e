/*
 * Bodies of requests, in blocks: they grow without copies, and blocks are used
 * again, since new pages cost as much as the copy of a body.
 */
#include <string.h>

#include "base/memory.h"
#include "flow/flow_internal.h"

enum {
	BLOCK_MIN_BYTES = 4 << 10,
	BLOCK_BYTES = 256 << 10, /* most blocks; kept for later bodies */
	IDLE_FRACTION = 4, /* of the budget: idle blocks */
	IDLE_RELEASE_FRACTION = 16 /* of the idle blocks, in each sweep */
};

static void
charge_idle(struct flow *flow)
{
	memory_track(flow, MEMORY_IDLE, &flow->idle_charged,
	    (size_t)flow->idle_blocks->len * BLOCK_BYTES);
}

/*
 * Frees idle blocks until no more than count are left.
 */
static void
release_idle(struct flow *flow, unsigned count)
{
	while (flow->idle_blocks->len > count)
		mem_unmap(g_ptr_array_steal_index_fast(
			      flow->idle_blocks, flow->idle_blocks->len - 1),
		    BLOCK_BYTES);
	charge_idle(flow);
}

void
bodies_open(struct flow *flow)
{
	flow->idle_blocks = g_ptr_array_new();
}

void
bodies_close(struct flow *flow)
{
	release_idle(flow, 0);
	g_ptr_array_free(flow->idle_blocks, TRUE);
}

/*
 * Frees a part of the idle blocks, or those that the budget has no room for.
 */
void
bodies_sweep(struct flow *flow)
{
	unsigned count = flow->idle_blocks->len;

	release_idle(flow,
	    count -
		(count + IDLE_RELEASE_FRACTION - 1) / IDLE_RELEASE_FRACTION);
}

/*
 * Frees idle blocks that the budget has no room for.
 */
void
bodies_make_room(struct flow *flow)
{
	uint64_t excess = memory_budget_excess(&flow->memory);
	uint64_t blocks = (excess + BLOCK_BYTES - 1) / BLOCK_BYTES;
	unsigned count = flow->idle_blocks->len;

	if (blocks > 0 && count > 0)
		release_idle(
		    flow, blocks < count ? count - (unsigned)blocks : 0);
}

static char *
take_block(struct flow *flow, size_t bytes)
{
	char *block;

	if (bytes != BLOCK_BYTES)
		return mem_alloc(bytes);
	if (flow->idle_blocks->len == 0)
		return mem_map(bytes);
	block = g_ptr_array_steal_index_fast(
	    flow->idle_blocks, flow->idle_blocks->len - 1);
	charge_idle(flow);
	return block;
}

static void
return_block(struct flow *flow, uv_buf_t block)
{
	if (block.len != BLOCK_BYTES) {
		mem_free(block.base);
		return;
	}
	if (((uint64_t)flow->idle_blocks->len + 1) * BLOCK_BYTES >
	    flow->memory.limit_bytes / IDLE_FRACTION) {
		mem_unmap(block.base, BLOCK_BYTES);
		return;
	}
	g_ptr_array_add(flow->idle_blocks, block.base);
}

/*
 * Creates an empty body with one reference.
 */
struct request_body *
body_new(struct flow *flow)
{
	struct request_body *body = mem_calloc(1, sizeof(*body));

	body->flow = flow;
	body->refs = 1;
	return body;
}

/*
 * Adds a reference to a body, which may be NULL.
 */
struct request_body *
body_get(struct request_body *body)
{
	if (body != NULL)
		body->refs++;
	return body;
}

/*
 * Drops a reference to a body, which may be NULL.
 */
void
body_put(struct request_body *body)
{
	struct flow *flow;

	if (body == NULL || --body->refs > 0)
		return;
	flow = body->flow;
	for (unsigned i = 0; i < body->block_count; i++)
		return_block(flow, body->blocks[i]);
	/* The idle blocks first: a wait may end as soon as there is room. */
	charge_idle(flow);
	memory_track(flow, MEMORY_BODIES, &body->charged, 0);
	mem_free(body->blocks);
	mem_free(body);
}

size_t
body_len(const struct request_body *body)
{
	return body != NULL ? body->len : 0;
}

static void
charge(struct request_body *body)
{
	memory_track(body->flow, MEMORY_BODIES, &body->charged,
	    body->held > body->reserved ? body->held : body->reserved);
}

/*
 * Charges a body for bytes in all, of which a part may have arrived.
 */
void
body_reserve(struct request_body *body, size_t bytes)
{
	body->reserved = bytes;
	charge(body);
}

/*
 * Returns the size of the next block of a body that has blocks of held bytes.
 * The blocks of a reserved one end with the reservation.
 */
static size_t
next_block_bytes(const struct request_body *body, size_t held)
{
	size_t bytes = held < BLOCK_MIN_BYTES ? BLOCK_MIN_BYTES : held;

	if (body->reserved > held)
		bytes = body->reserved - held;
	return bytes < BLOCK_BYTES ? bytes : BLOCK_BYTES;
}

/*
 * Returns how many bytes the blocks of a body will have after len bytes more.
 */
size_t
body_bytes_after(const struct request_body *body, size_t len)
{
	size_t held = body->held;

	while (held < body->len + len)
		held += next_block_bytes(body, held);
	return held;
}

static void
add_block(struct request_body *body)
{
	size_t bytes = next_block_bytes(body, body->held);

	if (body->block_count == body->block_capacity) {
		body->block_capacity =
		    body->block_capacity > 0 ? body->block_capacity * 2 : 1;
		body->blocks = mem_resize(body->blocks,
		    body->block_capacity * sizeof(body->blocks[0]));
	}
	body->blocks[body->block_count++] =
	    uv_buf_init(take_block(body->flow, bytes), (unsigned)bytes);
	body->held += bytes;
	charge(body);
}

/*
 * Appends bytes to a body.
 */
void
body_append(struct request_body *body, struct str bytes)
{
	while (bytes.len > 0) {
		const uv_buf_t *last;
		size_t room = body->held - body->len;
		size_t part = bytes.len;

		if (room == 0) {
			add_block(body);
			room = body->held - body->len;
		}
		if (part > room)
			part = room;
		last = &body->blocks[body->block_count - 1];
		memcpy(last->base + last->len - room, bytes.data, part);
		body->len += part;
		bytes = str_of(bytes.data + part, bytes.len - part);
	}
}

/*
 * Returns buffers for a head and a body, which may be NULL, to be freed by the
 * caller, and their number.  They stay valid as long as both do.
 */
uv_buf_t *
body_buffers(const struct request_body *body, struct str head, unsigned *count)
{
	unsigned blocks = body != NULL ? body->block_count : 0;
	uv_buf_t *bufs = mem_alloc((blocks + 1) * sizeof(*bufs));

	bufs[0] = uv_buf_init((char *)head.data, (unsigned)head.len);
	for (unsigned i = 0; i < blocks; i++)
		bufs[i + 1] = body->blocks[i];
	if (blocks > 0)
		bufs[blocks].len -= body->held - body->len;
	*count = blocks + 1;
	return bufs;
}
