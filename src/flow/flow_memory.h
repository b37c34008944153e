/*
 * Buffers of an entry: the budget for them, bodies of requests, and callers
 * whose body waits for room.
 */
#ifndef FLOW_FLOW_MEMORY_H
#define FLOW_FLOW_MEMORY_H

#include <uv.h>

#include "base/str.h"
#include "limit/memory_budget.h"

struct caller;
struct exchange;
struct flow;

/* Body of a request; a connection that writes it holds a reference. */
struct request_body {
	struct flow *flow;
	unsigned refs;
	uv_buf_t *blocks;
	unsigned block_count;
	unsigned block_capacity;
	size_t len;
	size_t held; /* bytes of the blocks */
	size_t reserved; /* bytes that are to arrive, as far as known */
	size_t charged;
};

void memory_open(struct flow *flow);
void memory_sweep(struct flow *flow);
/* Lets callers read on whose bodies have room now. */
void memory_admit(struct flow *flow);
/* Charges a buffer that now has bytes; charged is what it was charged before. */
void memory_track(
    struct flow *flow, enum memory_use use, size_t *charged, size_t bytes);
void memory_track_answer(struct exchange *x);
void memory_track_head(struct exchange *x);
/* How many requests of a connection may be pending before it is paused. */
unsigned memory_pipeline_max(const struct flow *flow);
/* How many bytes to read at once from a caller. */
size_t memory_read_bytes(const struct caller *caller);
/* How many bytes may be pending for a caller before its target is paused. */
size_t memory_output_max(const struct flow *flow);
/* Reserves room for a body; false if its caller has to wait for it. */
bool memory_begin_body(struct caller *caller, size_t len);
/* Appends a piece of a body; false if there is no room for it. */
bool memory_append_body(struct caller *caller, struct str piece);
/* Rejects the request whose body is being read; returns the parser's error. */
int memory_refuse_body(struct caller *caller);
void memory_stop_waiting(struct caller *caller);

/* flow_body.c */
void bodies_open(struct flow *flow);
void bodies_close(struct flow *flow);
void bodies_sweep(struct flow *flow);
void bodies_make_room(struct flow *flow);
struct request_body *body_new(struct flow *flow);
struct request_body *body_get(struct request_body *body);
void body_put(struct request_body *body);
size_t body_len(const struct request_body *body);
void body_reserve(struct request_body *body, size_t bytes);
size_t body_bytes_after(const struct request_body *body, size_t len);
void body_append(struct request_body *body, struct str bytes);
uv_buf_t *
body_buffers(const struct request_body *body, struct str head, unsigned *count);
/* Drops the body of a request that is not sent again. */
void exchange_drop_body(struct exchange *x);
/* Drops all of a request that has its answer. */
void exchange_drop_request(struct exchange *x);

#endif
