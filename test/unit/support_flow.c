/*
 * An entry for unit tests, and control instances that say what a test wants.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support_flow.h"

static bool
read_load(struct str value ATTR_UNUSED, struct target_load *load ATTR_UNUSED)
{
	return false;
}

static enum status
read_document(struct str text ATTR_UNUSED, struct routes **routes)
{
	*routes = routes_new(5);
	return routes_add_service(*routes, "svc", "/health", 100);
}

static void
ignore_connection(uv_stream_t *listener ATTR_UNUSED, int status ATTR_UNUSED)
{
}

static void
listen_anywhere(struct flow_bed *bed)
{
	struct sockaddr_in at;
	int len = sizeof(at);

	assert_int_equal(uv_ip4_addr("127.0.7.251", 0, &at), 0);
	uv_tcp_init(&bed->loop, &bed->listener);
	assert_int_equal(
	    uv_tcp_bind(&bed->listener, (struct sockaddr *)&at, 0), 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&bed->listener, 16, ignore_connection), 0);
	assert_int_equal(
	    uv_tcp_getsockname(&bed->listener, (struct sockaddr *)&at, &len),
	    0);
	snprintf(bed->target_address, sizeof(bed->target_address),
	    "127.0.7.251:%u", ntohs(at.sin_port));
}

/*
 * Announces a target of the service.
 */
void
flow_bed_announce(struct flow_bed *bed, const char *id, const char *address)
{
	const struct roster_target target = {
	    .id = (char *)id,
	    .service = (char *)"svc",
	    .address = (char *)address,
	    .failure_domain = (char *)"a",
	    .started_ms = 1,
	    .slots = 4,
	};

	assert_true(roster_announce(bed->flow->roster, &target));
}

/*
 * Opens an entry with one target.
 */
void
flow_bed_open(struct flow_bed *bed, enum repeat_policy repeat)
{
	static const struct flow_dialect dialect = {
	    .attempt_header = "Attempt",
	    .deadline_header = "Deadline",
	    .expect_header = "Expect-Target",
	    .identity_header = "Target",
	    .proof_header = "Proof",
	    .not_run_header = "Not-Run",
	    .load_header = "Load",
	    .read_load = read_load,
	    .read_document = read_document,
	};
	struct flow_settings settings = {
	    .instance = "test",
	    .failure_domain = "a",
	    .caller_address = "127.0.7.251:0",
	    .datagram_address = "127.0.7.251:0",
	    .memory_bytes = 64 << 20,
	    .descriptors = 1024,
	    .repeats = {.window_us = 10 * US_PER_S, .ratio = 0.2, .slack = 9},
	    .probes_per_second = 10,
	    .target_kept_ms = 60000,
	};
	const struct route from = {
	    .name = (char *)"r",
	    .host = (char *)"h",
	    .prefix = STR_LITERAL("/"),
	    .repeat = repeat,
	    .max_attempts = 2,
	    .timeout_ms = 5000,
	    .objective_ms = 5000,
	};
	struct route *route;

	memset(bed, 0, sizeof(*bed));
	uv_loop_init(&bed->loop);
	uv_timer_init(&bed->loop, &bed->pause);
	listen_anywhere(bed);
	assert_int_equal(
	    flow_open(&bed->loop, &settings, &dialect, &bed->flow), STATUS_OK);
	bed->routes = routes_new(1);
	assert_int_equal(
	    routes_add_service(bed->routes, "svc", "/health", 100), STATUS_OK);
	assert_int_equal(routes_add(bed->routes, &from, &route), STATUS_OK);
	assert_int_equal(
	    routes_add_destination(bed->routes, route, "svc", 1), STATUS_OK);
	flow_bed_announce(bed, "t1", bed->target_address);
	bed->caller.flow = bed->flow;
	uv_update_time(&bed->loop);
}

/*
 * Returns a whole request that waits for its first grant.
 */
struct exchange *
flow_bed_exchange(struct flow_bed *bed)
{
	struct exchange *x = exchange_new(&bed->caller);

	x->caller = NULL;
	x->routes = routes_get(bed->routes);
	x->route = routes_find(bed->routes, str_from("h"), str_from("/x"));
	x->service = fleet_service(bed->flow, "svc");
	x->deadline_us = x->begun_us + 5 * US_PER_S;
	x->objective_us = x->deadline_us;
	str_buf_append_c(&x->target, "/x");
	return x;
}

/*
 * Frees a request, unless it is NULL, and the entry.
 */
void
flow_bed_close(struct flow_bed *bed, struct exchange *x)
{
	if (x != NULL)
		exchange_free(x);
	routes_put(bed->routes);
	uv_close((uv_handle_t *)&bed->listener, NULL);
	uv_close((uv_handle_t *)&bed->pause, NULL);
	flow_close(bed->flow);
	(void)uv_run(&bed->loop, UV_RUN_DEFAULT);
	flow_free(bed->flow);
	assert_int_equal(uv_loop_close(&bed->loop), 0);
}

/*
 * Announces targets numbered so.
 */
void
flow_bed_announce_many(struct flow_bed *bed, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++) {
		char id[32], address[ADDRESS_BYTES];

		snprintf(id, sizeof(id), "many-%u", i);
		snprintf(address, sizeof(address), "127.0.%u.%u:%u",
		    100 + i / 250, 1 + i % 250, 20);
		flow_bed_announce(bed, id, address);
	}
}

static void
on_pause_over(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/*
 * Lets the loop run for so long.
 */
void
flow_bed_run(struct flow_bed *bed, uint64_t ms)
{
	bool over = false;

	uv_update_time(&bed->loop);
	bed->pause.data = &over;
	uv_timer_start(&bed->pause, on_pause_over, ms, 0);
	while (!over)
		(void)uv_run(&bed->loop, UV_RUN_ONCE);
}

/*
 * Sends the document that is in force, or only names it.
 */
void
flow_control_send_document(struct channel *channel, struct str text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	document.index = 5;
	document.version = 5;
	document.text.data = (uint8_t *)text.data;
	document.text.len = text.len;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_send(channel, &frame);
}

/*
 * Tells of another entry.
 */
void
flow_control_send_entry(struct channel *channel, Fleet__Hello *hello, bool gone)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Entry entry = FLEET__ENTRY__INIT;

	entry.hello = hello;
	entry.gone = gone;
	frame.body_case = FLEET__FRAME__BODY_ENTRY;
	frame.entry = &entry;
	channel_send(channel, &frame);
}

/*
 * Tells how many entries there are, and the most processor time of one.
 */
void
flow_control_send_members(
    struct channel *channel, unsigned entries, unsigned most_millis)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Members members = FLEET__MEMBERS__INIT;

	members.entries = entries;
	members.most_millis = most_millis;
	frame.body_case = FLEET__FRAME__BODY_MEMBERS;
	frame.members = &members;
	channel_send(channel, &frame);
}

/*
 * Tells that this is all.
 */
void
flow_control_send_synced(struct channel *channel)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Synced synced = FLEET__SYNCED__INIT;

	synced.all = true;
	frame.body_case = FLEET__FRAME__BODY_SYNCED;
	frame.synced = &synced;
	channel_send(channel, &frame);
}

static void
on_message(void *ctx, struct channel *channel, const Fleet__Frame *frame)
{
	struct flow_control *control = ctx;

	if (control->message != NULL)
		control->message(control->ctx, channel, frame);
	if (frame->body_case == FLEET__FRAME__BODY_HELLO &&
	    control->names_document)
		flow_control_send_document(channel, str_of("", 0));
	if (frame->body_case != FLEET__FRAME__BODY_FETCH)
		return;
	control->fetch_count++;
	if (control->hands_it_out)
		flow_control_send_document(channel, STR_LITERAL("text"));
}

static void
on_closed(void *ctx, struct channel *channel, const char *reason ATTR_UNUSED)
{
	struct flow_control *control = ctx;

	if (control->closed != NULL)
		control->closed(control->ctx, channel);
}

/*
 * Listens for entries.
 */
void
flow_control_open(uv_loop_t *loop, struct flow_control *control)
{
	const struct channel_callbacks callbacks = {
	    .ctx = control, .message = on_message, .closed = on_closed};

	for (unsigned port = 32100; control->listener == NULL && port < 33000;
	     port++) {
		snprintf(control->address, sizeof(control->address),
		    "127.0.7.252:%u", port);
		control->listener =
		    channel_listen(loop, control->address, &callbacks);
	}
	assert_non_null(control->listener);
}

/*
 * Opens a control instance that is the entry's only seed.
 */
void
flow_bed_join(struct flow_bed *bed, struct flow_control *control)
{
	flow_control_open(&bed->loop, control);
	bed->seeds[0] = control->address;
	bed->flow->settings.seeds = bed->seeds;
	bed->flow->settings.seed_count = 1;
}

/*
 * Closes it.
 */
void
flow_bed_leave(struct flow_bed *bed, struct flow_control *control)
{
	bed->flow->settings.seed_count = 0;
	channel_listener_close(control->listener);
}
