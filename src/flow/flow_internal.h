/*
 * What the parts of the event-driven entry share.  Only its loop uses it.
 */
#ifndef FLOW_FLOW_INTERNAL_H
#define FLOW_FLOW_INTERNAL_H

#include <glib.h>
#include <http_parser.h>
#include <uv.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/log_limiter.h"
#include "base/random.h"
#include "flow/flow.h"
#include "flow/head.h"
#include "flow/patience.h"
#include "flow/strain.h"
#include "net/address.h"
#include "net/channel.h"
#include "roster/roster.h"
#include "wire/fleet.pb-c.h"

enum {
	READ_BYTES = 64 << 10,
	ATTEMPTS_MAX = 4,
	PIPELINE_MAX = 16, /* requests in hand on one connection */
	/* Responses up to here are checked whole before they are handed on. */
	WHOLE_RESPONSE_BYTES = 1 << 20,
	FLOW_CONTROLS_MAX = 64 /* the bits of a fellow's sources */
};

struct exchange;
struct upstream;

/* A caller's connection. */
struct caller {
	uv_tcp_t tcp;
	struct flow *flow;
	GList link; /* in flow->callers */
	http_parser parser;
	struct exchange *reading; /* its request is not whole yet */
	GQueue exchanges; /* whole requests, in order */
	uint64_t active_ms; /* when bytes last came or went */
	uint64_t head_since_ms; /* when the request being read began; 0: none */
	size_t head_bytes;
	char tail[3]; /* last bytes of the head being read */
	bool in_body;
	bool paused; /* too many requests in hand, or output not read */
	bool final; /* no request after those in hand is read */
	bool lingering; /* the last answer is on its way; nothing is read */
	bool shut; /* it is written; waits for the caller to close */
	bool closing;
	unsigned writes;
};

/* A connection to a target. */
struct upstream {
	uv_tcp_t tcp;
	struct flow *flow;
	struct pool *pool; /* NULL once the target is forgotten */
	struct attempt *attempt; /* NULL while it is idle */
	GList link; /* in its queue */
	GQueue *queue; /* pool->idle or flow->connecting; NULL: in none */
	GList pool_link; /* in pool->all */
	http_parser parser;
	struct head head;
	struct str_buf body;
	struct str_buf request; /* kept until it is written */
	uint64_t idle_since_ms;
	uint64_t keep_ms; /* how long the target keeps it when idle */
	bool connected;
	bool closing;
	bool foreign; /* the response being read belongs to another request */
	bool whole; /* a response has been read to its end */
	bool keep_alive;
	bool in_response;
	bool writing;
	bool probe; /* the attempt is a probe of its pool's target */
	bool reused;
	size_t foreign_bytes; /* of answers to others, in this request's time */
	unsigned interim_count; /* responses before the answer */
	uint64_t started_ms;
};

/* The connections of this process to one target. */
struct pool {
	struct flow *flow;
	char *id;
	char *address;
	char *service;
	struct service *of;
	uint32_t failure_domain; /* hash */
	GQueue idle;
	GQueue all; /* idle ones among them */
	struct upstream *probing; /* NULL: no probe is on its way */
	struct upstream *watch; /* kept for the next probe; NULL: none */
	GList link; /* in flow->linked_pools, while it has a connection */
	GSequenceIter *probe; /* in flow->probe_queue; NULL: not probed here */
	uint64_t probe_due_us; /* when a probe is looked at next */
	uint64_t probed_us; /* when the last probe was sent; 0: never */
	unsigned probe_failures;
};

/* One send of a request to a target. */
struct attempt {
	struct exchange *exchange;
	struct upstream *upstream; /* NULL once it has ended */
	char *target; /* id; NULL: unused place */
	uint32_t target_hash;
	uint64_t started_us;
	bool sent; /* bytes of the request were written */
	bool remote; /* granted by the scheduler elsewhere */
	bool has_load;
	struct target_load load;
};

/* Who asks a placement: one of our exchanges, or another entry. */
struct asker {
	bool remote;
};

/* One request of a caller, from its head to the end of its answer. */
struct exchange {
	struct asker asker; /* first */
	struct flow *flow;
	struct caller *caller; /* NULL once the caller is gone */
	uint64_t id; /* for logs */
	char attempt_id[48]; /* of the caller */
	struct str_buf target; /* path and query */
	struct head head;
	struct str_buf body;
	enum http_method method;
	bool keep_alive;
	bool http_1_0;
	bool ended; /* its answer is whole */
	bool streaming; /* bytes of the answer have been handed on */
	bool chunked;
	bool close_after;
	struct routes *routes;
	struct route *route;
	struct service *service;
	uint64_t begun_us;
	uint64_t spent_ms; /* by the caller on tries before this one */
	uint64_t objective_us;
	uint64_t deadline_us; /* caller's and route's, the earlier */
	uint64_t caller_deadline_us; /* by the caller alone */
	struct attempt attempts[ATTEMPTS_MAX];
	unsigned attempt_count;
	uint32_t
	    excluded[PLACEMENT_EXCLUDED_MAX]; /* that could not be reached */
	unsigned excluded_count;
	GList parked; /* in flow->parked, while data is set */
	bool parked_before;
	bool any_ran; /* a target may have run it */
	int spare_status; /* a target's failure, kept while others are tried */
	struct str_buf spare; /* that answer as it would be handed on */
	struct str_buf out; /* of the answer, not yet written */
	uv_timer_t timer; /* deadline */
	uv_timer_t ask_timer;
	unsigned handles;
	uint64_t ask; /* number of the question to the scheduler; 0: none */
	bool ask_is_local;
	bool ask_repeat;
	bool ask_done; /* the scheduler has forgotten it */
	bool held;
	const char *asked_of; /* address of the scheduler; interned */
	struct sockaddr_in asked; /* the scheduler */
	uint64_t asked_boot_us; /* when the question was sent last */
	unsigned ask_tries;
};

/*
 * A service, or a part of its targets where there are many: its placement
 * here, and the part that this entry has in it.
 */
struct service {
	struct flow *flow;
	char *name;
	struct placement *placement;
	GPtrArray *pools; /* of struct pool: its targets */
	uint64_t name_hash;
	struct fellow *scheduler; /* NULL: this entry; see scheduler_of */
	unsigned scheduler_of; /* state of the fleet in which it was chosen */
	bool owner; /* this entry is its scheduler and probes its targets */
	bool busy; /* in flow->busy_services: its placement has calls */
};

/* How many targets a service has, and into how many parts they are split. */
struct service_size {
	unsigned targets;
	unsigned parts; /* a power of two */
	unsigned next; /* part of the next request */
};

/* Another entry, as control instances tell. */
struct fellow {
	char *address; /* for datagrams; the key */
	uint64_t address_hash;
	char *instance;
	unsigned processor_millis;
	uint64_t sources; /* bit per control that tells of it as connected */
	bool ready;
	bool stopping;
	struct sockaddr_in datagram;
	bool suspect; /* silent; asked for a sign now and then */
	uint64_t sign_us; /* when it is asked next */
	unsigned timeouts;
};

/* A control instance. */
struct control {
	struct channel *channel;
	unsigned bit;
	bool synced;
	bool primary; /* tells of targets and entries, too */
	bool stale; /* lost; what it told holds until another has told all */
	uint64_t opened_us;
	uint64_t named_us; /* when somebody named it last, or it is a seed */
	uint64_t named_index; /* newest document that it has named */
};

/* A request of another entry that waits or runs under our placement. */
struct remote_call {
	struct asker asker; /* first */
	struct service *service;
	struct sockaddr_in from;
	uint64_t request;
	uint64_t deadline_us;
	char *granted; /* the target of the last grant; NULL: none yet */
};

struct flow {
	uv_loop_t *loop;
	struct flow_settings settings;
	struct flow_dialect dialect;
	uint32_t failure_domain; /* hash */
	struct random random;
	uint64_t started_ms;
	uint64_t next_id;
	/* What is in force. */
	struct routes *routes;
	uint64_t document_index;
	uint64_t named_index; /* newest that a control instance has named */
	uint64_t fetch_due_us; /* when its text is asked for next */
	unsigned fetches; /* of that index */
	struct roster *roster;
	GHashTable *patiences; /* route id -> struct patience */
	GHashTable *pools; /* target id -> struct pool */
	GQueue linked_pools; /* those with a connection */
	GSequence *probe_queue; /* of struct pool, by the time of its probe */
	GQueue connecting; /* of struct upstream, the oldest first */
	GPtrArray *busy_services; /* whose placements have calls */
	GHashTable *services; /* name, or name#part -> struct service */
	GHashTable *sizes; /* name -> struct service_size */
	GHashTable *fellows; /* datagram address -> struct fellow */
	uint64_t own_hash; /* of this entry's datagram address */
	unsigned entries; /* of the fleet, as control tells */
	unsigned most_millis; /* the most processor time of one */
	unsigned fleet_state; /* counts changes of who may schedule */
	unsigned owners_of; /* state for which the owners were worked out */
	unsigned suspects; /* silent entries */
	GHashTable *controls; /* link address -> struct control */
	uint64_t control_bits; /* taken */
	uint64_t controls_due_us; /* when old ones are looked for next */
	uint64_t
	    first_opened_us; /* channel to a control instance; 0: none yet */
	uint64_t first_synced_us; /* of one that has told all */
	uint64_t
	    told_since_us; /* told of targets without a gap; 0: now in one */
	bool ready;
	uint64_t opened_us;
	uint64_t ready_us; /* since when */
	GQueue parked; /* of struct exchange, that wait for a start */
	uint64_t turned_boot_us; /* when the loop was seen to turn last */
	uint64_t resumed_boot_us; /* end of the last pause of the process */
	bool stopping;
	uint64_t stopping_ms;
	bool listening;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
	/* Callers. */
	uv_tcp_t listener;
	GQueue callers;
	uv_timer_t sweep;
	char input[READ_BYTES];
	/* Datagrams among entries. */
	uv_udp_t udp;
	char datagram[2048];
	uint64_t next_ask;
	GHashTable *asks; /* number -> struct exchange */
	GHashTable *remote_calls; /* key text -> struct remote_call */
	uv_timer_t place_timer;
	struct strain strain;
	uv_timer_t probe_timer;
	struct log_limiter log_limiter;
	struct counter *requests;
	struct counter *answered;
	struct counter *rejected;
	struct counter *failed;
	struct counter *left;
	struct counter *repeats;
	struct counter *probes;
	struct counter *connects;
	struct counter *fallbacks;
	struct counter *visits;
	struct counter *log_dropped;
	struct histogram latency; /* microseconds, answered requests */
};

uint64_t flow_now_us(const struct flow *flow);
/* Notes that the loop turns; what was granted before a pause is void. */
void flow_note_turn(struct flow *flow);
/* Counts targets, entries and parts that a timer has looked at. */
void flow_note_visits(struct flow *flow, unsigned count);
/* Whether one more line may be logged in this second. */
bool flow_may_log(struct flow *flow);
bool flow_may_log_routine(struct flow *flow);

/* flow_fleet.c */
void fleet_open(struct flow *flow);
void fleet_close(struct flow *flow);
void fleet_tick(struct flow *flow);
void fleet_greet(struct flow *flow);
struct service *fleet_service(struct flow *flow, const char *name);
/* The scheduler of a service; NULL: this entry. */
struct fellow *fleet_scheduler(struct flow *flow, struct service *service);
/* The same, were all connected entries ready. */
struct fellow *
fleet_expected_scheduler(struct flow *flow, const struct service *service);
unsigned fleet_size(const struct flow *flow);
bool fleet_may_schedule(const struct flow *flow);
/* Who may schedule has changed. */
void fleet_changed(struct flow *flow);
void fleet_update_owners(struct flow *flow);

/* Takes a silent entry out of the choice until it gives a sign. */
void fleet_suspect(struct flow *flow, struct fellow *fellow);
void fleet_trust(struct flow *flow, struct fellow *fellow);
/* Part of a service's targets that a request of ours goes to. */
struct service *fleet_pick(struct flow *flow, const char *name);
/*
 * Takes over that a service is split into more parts, where its targets are
 * many enough; returns into how many it is.
 */
unsigned fleet_adopt_parts(struct flow *flow, const char *name, unsigned parts);
/*
 * The part that another entry names, or one of ours in its place; NULL for a
 * service that has no targets here.
 */
struct service *fleet_asked(struct flow *flow, const char *text);
unsigned fleet_parts(struct flow *flow, const struct service *service);
void fleet_note_parts(
    struct flow *flow, const struct service *service, unsigned parts);

/* flow_control.c: channels to control instances */
/* One by its link address, dialled at the first use; NULL: no more. */
struct control *control_get(struct flow *flow, const char *address);
void control_free(void *value);
void controls_choose_primaries(struct flow *flow);
void controls_forget(struct flow *flow, uint64_t now_us);

/* flow_news.c: what they tell */
void news_on_frame(
    struct flow *flow, struct control *control, const Fleet__Frame *frame);
/* Asks for a document that was named, when it is time. */
void news_fetch_document(struct flow *flow, uint64_t now_us);
void news_forget_source(struct flow *flow, unsigned bit);
void fellow_free(void *value);

/* flow_service.c: services, their parts, and who schedules them. */
uint64_t service_mix(uint64_t a, uint64_t b);
void service_release(void *value);
void service_on_added(void *ctx, struct roster_target *target);
void service_on_removed(void *ctx, struct roster_target *target);
void fleet_ask_signs(struct flow *flow, uint64_t now_us);

/* flow_caller.c */
enum status callers_open(struct flow *flow);
void callers_stop(struct flow *flow);
void callers_sweep(struct flow *flow);
void caller_flush(struct caller *caller);
void caller_put(struct caller *caller, struct str bytes);
void caller_close(struct caller *caller);

/* flow_read.c: the requests of a caller's connection. */
void caller_read(struct caller *caller, const char *data, size_t len);
/* Answers what can't be read and reads no more; the parser's error code. */
int caller_fail(struct caller *caller, int status, const char *reason);

/* flow_exchange.c */
struct exchange *exchange_new(struct caller *caller);
void exchange_begin(struct exchange *x);
void exchange_free(struct exchange *x);
/* The caller is gone: ends all work for it. */
void exchange_abandon(struct exchange *x);
void exchange_on_grant(
    struct exchange *x, const char *target, bool remote, uint64_t expected_us);
void exchange_on_reject(
    struct exchange *x, uint64_t retry_after_us, enum placement_reason reason);
void exchange_on_response(struct attempt *attempt);
/* The target's connection ended before a whole response. */
void exchange_on_broken(struct attempt *attempt, enum placement_outcome outcome,
    const char *reason);
/* More of a response that is handed on as it comes. */
void exchange_on_piece(struct attempt *attempt);
void exchange_refuse(struct exchange *x, int status, uint64_t retry_after_us,
    const char *reason);

/* How long the caller waits, in milliseconds. */
uint64_t exchange_wait_ms(const struct exchange *x);
/* After a send that did not count: another one, or the end. */
void exchange_try_again(struct exchange *x, const char *reason);
/* Hands on what is ready; the request may be freed by it. */
void exchange_flush(struct exchange *x);
void exchange_end_attempts(struct exchange *x, enum placement_outcome outcome);
void exchange_log_end(
    struct exchange *x, const char *outcome, int status, const char *reason);

/* flow_start.c */
uint64_t start_left_us(const struct flow *flow);
/* True when the request waits for the entry's start. */
bool start_park(struct exchange *x);
void start_unpark(struct exchange *x);
void start_begin_parked(struct flow *flow);

/* flow_answer.c */
void answer_own(struct exchange *x, int status, uint64_t retry_after_us,
    const char *reason);
void answer_head(struct exchange *x, const struct upstream *up, bool whole,
    struct str_buf *out);

/* flow_target.c */
void targets_open(struct flow *flow);
void targets_close(struct flow *flow);
void targets_sweep(struct flow *flow);
/* Closes idle connections: after a pause nobody knows how old they are. */
void targets_drop_idle(struct flow *flow);
/* Starts a send; false when the target can't take it now. */
bool target_send(struct attempt *attempt, struct pool *pool);
bool target_probe(struct pool *pool, const char *path);

/* flow_upstream.c: one connection to a target */
/* One that is being made; NULL when that fails at once. */
struct upstream *upstream_connect(struct pool *pool);
/* Gives it a request, or a probe (NULL); returns where the bytes go. */
struct str_buf *upstream_use(struct upstream *up, struct attempt *attempt);
void upstream_send(struct upstream *up);
void upstream_release(struct upstream *up);
void upstream_close(struct upstream *up);
void upstream_pause(struct upstream *up, bool pause);
/* Ends what a connection serves. */
void upstream_break(
    struct upstream *up, enum placement_outcome outcome, const char *reason);
void upstream_leave(struct upstream *up);
void upstream_unlink(struct upstream *up);

/* flow_response.c: what comes on it */
extern const http_parser_settings response_settings;
/* A whole response has come; stray when bytes follow it. */
void response_complete(struct upstream *up, bool stray);

/* flow_ask.c: our questions to schedulers */
void schedule_ask(struct exchange *x, bool repeat);
void schedule_forget(struct exchange *x);
bool schedule_is_stale(const struct exchange *x);
void schedule_done(struct attempt *attempt, enum placement_outcome outcome);
void ask_on_grant(struct flow *flow, const Fleet__Grant *grant);
void ask_on_reject(struct flow *flow, const Fleet__Reject *reject);
void ask_on_held(struct flow *flow, const Fleet__Held *held);

/* flow_schedule.c: placements, and the questions of other entries */
void schedule_open(struct flow *flow);
void schedule_close(struct flow *flow);
void schedule_report(struct pool *pool, const struct target_load *load);
struct placement *schedule_placement(struct service *service);
/* Asks the placement of a service here; its timer runs until all is over. */
bool schedule_place(
    struct service *service, const struct placement_request *request);
/* Forgets questions of other entries whose time is over. */
void schedule_sweep(struct flow *flow, uint64_t now_us);
void schedule_on_ask(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask);
void schedule_on_cancel(
    struct flow *flow, const struct sockaddr_in *from, uint64_t request);
void schedule_on_done(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Done *done);

/* flow_datagram.c */
enum status datagram_open(struct flow *flow);
void datagram_close(struct flow *flow);
void datagram_send(struct flow *flow, const struct sockaddr_in *to,
    const Fleet__Datagram *datagram);
/* Asks a silent entry for a sign. */
void datagram_ask_sign(struct flow *flow, const struct fellow *fellow);

/* flow_probe.c */
void probe_open(struct flow *flow);
void probe_close(struct flow *flow);
/* Probes a target from now on if its service is scheduled here, or not. */
void probe_update(struct pool *pool);
void probe_forget(struct pool *pool);

#endif
