/*
 * An entry on a loop of its own, with a target that takes connections and
 * never answers, and control instances that say what a test wants.
 */
#ifndef SUPPORT_FLOW_H
#define SUPPORT_FLOW_H

#include "flow/flow_internal.h"

struct flow_fixture {
	uv_loop_t loop;
	uv_timer_t pause;
	uv_tcp_t listener; /* takes connections and never answers */
	char target_address[ADDRESS_BYTES];
	struct flow *flow;
	struct caller caller;
	struct routes *routes;
	const char *seeds[1];
};

/* Opens an entry with one target, "t1", of service "svc". */
void flow_fixture_open(struct flow_fixture *fixture, enum repeat_policy repeat);
/* Frees a request, unless it is NULL, and the entry. */
void flow_fixture_close(struct flow_fixture *fixture, struct exchange *x);
void flow_fixture_announce(
    struct flow_fixture *fixture, const char *id, const char *address);
/* Targets of "svc" numbered so. */
void flow_fixture_announce_many(
    struct flow_fixture *fixture, unsigned from, unsigned to);
/* A whole request that waits for its first grant. */
struct exchange *flow_fixture_exchange(struct flow_fixture *fixture);
/* Lets the loop run for so long. */
void flow_fixture_run(struct flow_fixture *fixture, uint64_t ms);

/* A control instance. */
struct fake_control {
	struct channel_listener *listener;
	char address[ADDRESS_BYTES];
	/* Called with each frame that comes; may be NULL. */
	void (*message)(
	    void *ctx, struct channel *channel, const Fleet__Frame *frame);
	/* Called when an entry's channel has ended; may be NULL. */
	void (*closed)(void *ctx, struct channel *channel);
	void *ctx;
	bool announces_document; /* to each that greets */
	bool serves_document; /* to each that asks */
	unsigned fetch_count;
};

void fake_control_open(uv_loop_t *loop, struct fake_control *control);
/* Opens a control instance that is the entry's only seed, and closes it. */
void
flow_fixture_join(struct flow_fixture *fixture, struct fake_control *control);
void
flow_fixture_leave(struct flow_fixture *fixture, struct fake_control *control);
/* Sends the document that is in force, or only names it. */
void fake_control_send_document(struct channel *channel, struct str text);
/* Tells of another entry. */
void fake_control_send_entry(
    struct channel *channel, Fleet__Hello *hello, bool gone);
void fake_control_send_synced(struct channel *channel);
/* Tells how many entries there are, and the most processor time of one. */
void fake_control_send_members(
    struct channel *channel, unsigned entries, unsigned most_millis);

#endif
