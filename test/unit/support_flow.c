/*
 * Test fixture of an entry, and fake control instances.
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
listen_on_free_port(struct flow_fixture *fixture)
{
	struct sockaddr_in at;
	int len = sizeof(at);

	assert_int_equal(uv_ip4_addr("127.0.7.251", 0, &at), 0);
	uv_tcp_init(&fixture->loop, &fixture->listener);
	assert_int_equal(
	    uv_tcp_bind(&fixture->listener, (struct sockaddr *)&at, 0), 0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&fixture->listener, 16, ignore_connection),
	    0);
	assert_int_equal(uv_tcp_getsockname(
			     &fixture->listener, (struct sockaddr *)&at, &len),
	    0);
	snprintf(fixture->target_address, sizeof(fixture->target_address),
	    "127.0.7.251:%u", ntohs(at.sin_port));
}

/*
 * Announces a target of the service.
 */
void
flow_fixture_announce(
    struct flow_fixture *fixture, const char *id, const char *address)
{
	const struct roster_target target = {
	    .id = (char *)id,
	    .service = (char *)"svc",
	    .address = (char *)address,
	    .failure_domain = (char *)"a",
	    .started_ms = 1,
	    .slots = 4,
	};

	assert_true(roster_announce(fixture->flow->roster, &target));
}

/*
 * Opens an entry with one target.
 */
void
flow_fixture_open(struct flow_fixture *fixture, enum repeat_policy repeat)
{
	static const struct flow_dialect dialect = {
	    .attempt_header = "Attempt",
	    .deadline_header = "Deadline",
	    .expect_header = "Expect-Target",
	    .identity_header = "Target",
	    .proof_header = "Proof",
	    .not_run_header = "Not-Run",
	    .load_header = "Load",
	    .leaving_header = "Leaving",
	    .rate_header = "Rate",
	    .key_header = "Authorization",
	    .key_scheme = "Bearer",
	    .account_header = "Account",
	    .account_header_alias = "Account_",
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

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->pause);
	listen_on_free_port(fixture);
	assert_int_equal(
	    flow_open(&fixture->loop, &settings, &dialect, &fixture->flow),
	    STATUS_OK);
	fixture->routes = routes_new(1);
	assert_int_equal(
	    routes_add_service(fixture->routes, "svc", "/health", 100),
	    STATUS_OK);
	assert_int_equal(routes_add(fixture->routes, &from, &route), STATUS_OK);
	assert_int_equal(
	    routes_add_destination(fixture->routes, route, "svc", 1),
	    STATUS_OK);
	flow_fixture_announce(fixture, "t1", fixture->target_address);
	fixture->caller.flow = fixture->flow;
	uv_update_time(&fixture->loop);
}

/*
 * Returns a complete request that waits for its first grant.
 */
struct exchange *
flow_fixture_exchange(struct flow_fixture *fixture)
{
	struct exchange *x = exchange_new(&fixture->caller);

	x->caller = NULL;
	x->routes = routes_get(fixture->routes);
	x->route = routes_find(fixture->routes, str_from("h"), str_from("/x"));
	x->service = fleet_service(fixture->flow, "svc");
	x->deadline_us = x->arrival_us + 5 * US_PER_S;
	x->objective_us = x->deadline_us;
	str_buf_append_c(&x->target, "/x");
	return x;
}

/*
 * Frees a request, which may be NULL, and the entry.
 */
void
flow_fixture_close(struct flow_fixture *fixture, struct exchange *x)
{
	if (x != NULL)
		exchange_free(x);
	routes_put(fixture->routes);
	uv_close((uv_handle_t *)&fixture->listener, NULL);
	uv_close((uv_handle_t *)&fixture->pause, NULL);
	flow_close(fixture->flow);
	(void)uv_run(&fixture->loop, UV_RUN_DEFAULT);
	flow_free(fixture->flow);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
}

/*
 * Announces the targets numbered from, up to but excluding to.
 */
void
flow_fixture_announce_many(
    struct flow_fixture *fixture, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++) {
		char id[32], address[ADDRESS_BYTES];

		snprintf(id, sizeof(id), "many-%u", i);
		snprintf(address, sizeof(address), "127.0.%u.%u:%u",
		    100 + i / 250, 1 + i % 250, 20);
		flow_fixture_announce(fixture, id, address);
	}
}

static void
on_pause_over(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/*
 * Runs the loop for a time in milliseconds.
 */
void
flow_fixture_run(struct flow_fixture *fixture, uint64_t ms)
{
	bool over = false;

	uv_update_time(&fixture->loop);
	fixture->pause.data = &over;
	uv_timer_start(&fixture->pause, on_pause_over, ms, 0);
	while (!over)
		(void)uv_run(&fixture->loop, UV_RUN_ONCE);
}

/*
 * Sends a document, or announces it if text is empty.
 */
void
fake_control_send_document(
    struct channel *channel, uint64_t index, struct str text)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Document document = FLEET__DOCUMENT__INIT;

	document.index = document.version = index;
	document.text.data = (uint8_t *)text.data;
	document.text.len = text.len;
	frame.body_case = FLEET__FRAME__BODY_DOCUMENT;
	frame.document = &document;
	channel_send(channel, &frame);
}

/*
 * Reports another entry.
 */
void
fake_control_send_entry(struct channel *channel, Fleet__Hello *hello, bool gone)
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
 * Reports the number of entries and the largest processor time of one.
 */
void
fake_control_send_members(
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
 * Reports the end of the synchronization.
 */
void
fake_control_send_synced(struct channel *channel)
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
	struct fake_control *control = ctx;

	if (control->message != NULL)
		control->message(control->ctx, channel, frame);
	if (frame->body_case == FLEET__FRAME__BODY_HELLO &&
	    control->announces_document)
		fake_control_send_document(
		    channel, control->newest, str_of("", 0));
	if (frame->body_case != FLEET__FRAME__BODY_FETCH)
		return;
	control->fetch_count++;
	if (control->serves_document)
		fake_control_send_document(
		    channel, control->newest, STR_LITERAL("text"));
}

static void
on_closed(void *ctx, struct channel *channel, const char *reason ATTR_UNUSED)
{
	struct fake_control *control = ctx;

	if (control->closed != NULL)
		control->closed(control->ctx, channel);
}

/*
 * Listens for entries on a free port.
 */
void
fake_control_open(uv_loop_t *loop, struct fake_control *control)
{
	const struct channel_callbacks callbacks = {
	    .ctx = control, .message = on_message, .closed = on_closed};

	if (control->newest == 0)
		control->newest = FAKE_DOCUMENT;
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
 * Opens a control instance as the entry's only seed.
 */
void
flow_fixture_join(struct flow_fixture *fixture, struct fake_control *control)
{
	fake_control_open(&fixture->loop, control);
	fixture->seeds[0] = control->address;
	fixture->flow->settings.seeds = fixture->seeds;
	fixture->flow->settings.seed_count = 1;
}

/*
 * Removes the seed and closes the control instance.
 */
void
flow_fixture_leave(struct flow_fixture *fixture, struct fake_control *control)
{
	fixture->flow->settings.seed_count = 0;
	channel_listener_close(control->listener);
}
