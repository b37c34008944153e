/*
 * Test fixture: an entry on its own loop with a target that accepts connections
 * and never answers, and fake control instances that send what a test asks for.
 */
#ifndef SUPPORT_FLOW_H
#define SUPPORT_FLOW_H

#include "flow/flow_internal.h"

struct flow_fixture {
	uv_loop_t loop;
	uv_timer_t pause;
	uv_tcp_t listener; /* accepts connections, never answers */
	char target_address[ADDRESS_BYTES];
	struct flow *flow;
	struct caller caller;
	struct routes *routes;
	const char *seeds[1];
};

/* Opens an entry with one target, "t1", of service "svc". */
void flow_fixture_open(struct flow_fixture *fixture, enum repeat_policy repeat);
/* Frees a request, which may be NULL, and the entry. */
void flow_fixture_close(struct flow_fixture *fixture, struct exchange *x);
void flow_fixture_announce(
    struct flow_fixture *fixture, const char *id, const char *address);
/* Announces targets of "svc" numbered from, up to but excluding to. */
void flow_fixture_announce_many(
    struct flow_fixture *fixture, unsigned from, unsigned to);
/* A complete request that waits for its first grant. */
struct exchange *flow_fixture_exchange(struct flow_fixture *fixture);
/* Runs the loop for a time. */
void flow_fixture_run(struct flow_fixture *fixture, uint64_t ms);

enum {
	FAKE_DOCUMENT = 5 /* index of the first document */
};

/* A fake control instance. */
struct fake_control {
	struct channel_listener *listener;
	char address[ADDRESS_BYTES];
	/* Called with each received frame; may be NULL. */
	void (*message)(
	    void *ctx, struct channel *channel, const Fleet__Frame *frame);
	/* Called when a channel has closed; may be NULL. */
	void (*closed)(void *ctx, struct channel *channel);
	void *ctx;
	bool announces_document; /* in response to each hello */
	bool serves_document; /* in response to each fetch */
	unsigned fetch_count;
	uint64_t newest; /* index of the document */
};

void fake_control_open(uv_loop_t *loop, struct fake_control *control);
/* Opens a control instance as the entry's only seed, and closes it. */
void
flow_fixture_join(struct flow_fixture *fixture, struct fake_control *control);
void
flow_fixture_leave(struct flow_fixture *fixture, struct fake_control *control);
/* Sends a document, or announces it if text is empty. */
void fake_control_send_document(
    struct channel *channel, uint64_t index, struct str text);
/* Reports another entry. */
void fake_control_send_entry(
    struct channel *channel, Fleet__Hello *hello, bool gone);
void fake_control_send_synced(struct channel *channel);
/* Reports the number of entries and the largest processor time of one. */
void fake_control_send_members(
    struct channel *channel, unsigned entries, unsigned most_millis);

#endif
