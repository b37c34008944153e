/*
 * Types of the event-driven entry, shared by its files.
 */
#ifndef FLOW_FLOW_TYPES_H
#define FLOW_FLOW_TYPES_H

#include <glib.h>
#include <http_parser.h>
#include <uv.h>

#include "base/clock.h"
#include "base/connection_budget.h"
#include "base/connection_share.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/linger.h"
#include "base/log_limiter.h"
#include "base/minute_log.h"
#include "base/random.h"
#include "base/status_line.h"
#include "flow/caller_timeouts.h"
#include "flow/delivery.h"
#include "flow/ended_asks.h"
#include "flow/flow.h"
#include "flow/flow_memory.h"
#include "flow/head.h"
#include "flow/loop_lag.h"
#include "flow/request_scan.h"
#include "net/address.h"
#include "net/channel.h"
#include "placement/part_choice.h"
#include "roster/roster.h"
#include "routing/account.h"
#include "wire/fleet.pb-c.h"
#include "wire/fleet_bounds.h"

enum {
	READ_BYTES = 64 << 10,
	ATTEMPTS_MAX = 4,
	PIPELINE_MAX = 16, /* pipelined requests per connection */
	/*
	 * Responses up to this size are buffered and verified before they are
	 * forwarded; larger ones are streamed.
	 */
	BUFFERED_RESPONSE_MAX_BYTES = 1 << 20,
	FLOW_CONTROLS_MAX = 64, /* bits of peer_entry.sources */
	/* in the own placements; other entries use hashes of addresses */
	FLOW_OWN_REQUESTER = 1
};

struct exchange;
struct exchange_allowance;
struct flow_allowance;
struct upstream;

/* Why a request has no valid key. */
enum key_reason {
	KEY_MISSING,
	KEY_UNKNOWN,
	KEY_OTHER_SCHEME,
	KEY_REPEATED, /* more than one header */
	KEY_WITHDRAWN, /* by a document that came while the request waited */
	KEY_REASONS
};

/* Connection of a caller. */
struct caller {
	uv_tcp_t tcp;
	struct flow *flow;
	GList link; /* in flow->callers */
	http_parser parser;
	struct exchange *reading; /* request that is not complete yet */
	GQueue exchanges; /* complete requests, in order */
	uint64_t active_ms; /* last read or write */
	/* start of the current request head; 0: none */
	uint64_t head_started_ms;
	struct request_scan scan; /* of the current request */
	bool in_body;
	bool paused; /* too many pending requests */
	bool no_more_requests; /* pending requests are the last ones */
	bool lingering; /* the last answer is being sent; nothing is read */
	bool write_shut; /* the last answer is in the socket */
	bool closing;
	unsigned writes;
	struct linger_wait linger_wait; /* progress of the output */
	bool input_ended; /* the caller has shut its sending side */
	bool awaits_memory; /* for the body of the request being read */
	uint64_t awaits_since_ms;
	size_t body_capacity; /* awaited */
	GList memory_link; /* in flow->memory_waiters */
	struct delivery delivery; /* of its answers */
	bool sends_ahead; /* a request came before earlier answers arrived */
	GList ahead_link; /* in flow->ahead_waiters while its data is set */
	struct sockaddr_in peer;
	uint64_t opened_ms;
	bool served; /* a whole request has arrived */
	bool parsing; /* caller_parse() is on the stack */
	struct str_buf held; /* input that is not parsed yet */
	size_t held_charged;
	size_t unread; /* bytes of answers that the socket has not taken */
	uint64_t given; /* bytes of answers, in all */
	unsigned still_checks; /* checks since the caller last took something */
	/* it has sent more than PIPELINE_MAX requests ahead, not all parsed */
	bool beyond_pipeline;
	unsigned turn_requests; /* parsed since its turn began */
	GList turn_link; /* in flow->turns while its data is set */
	struct connection_use use;
	bool counted; /* in the share of its address */
};

/* Whose response it is. */
enum attribution {
	ATTRIBUTION_OWN, /* the pending request's */
	ATTRIBUTION_OTHER, /* names another attempt */
	ATTRIBUTION_UNKNOWN /* may be an earlier request's */
};

/* Connection to a target. */
struct upstream {
	uv_tcp_t tcp;
	struct flow *flow;
	struct pool *pool; /* NULL after the target was removed */
	struct attempt *attempt; /* NULL while it is idle */
	GList link; /* in queue */
	GQueue *queue; /* pool->idle, flow->connecting or NULL */
	GList pool_link; /* in pool->all */
	http_parser parser;
	struct status_line status_line; /* of the response being read */
	struct head head;
	struct str_buf body;
	size_t response_charged;
	struct str_buf request; /* its head, until it is written */
	size_t request_charged;
	struct request_body *request_body; /* until it is written, or NULL */
	uint64_t target_started_ms; /* incarnation that it was opened to */
	uint64_t idle_since_ms;
	uint64_t keep_alive_ms; /* how long it may stay idle */
	bool connected;
	bool closing;
	enum attribution attribution; /* of the current response */
	bool not_run; /* it proves that the pending request did not run */
	/* an earlier rejection of this connection names no attempt */
	bool unnamed_rejection;
	bool complete; /* the response is complete */
	bool keep_alive;
	bool in_response;
	bool writing;
	bool options_set;
	bool large_request; /* the socket has no user timeout */
	bool probe; /* it serves a probe of the target */
	bool reused;
	/* body bytes of such responses during this request */
	size_t stale_response_bytes;
	unsigned interim_count; /* 1xx responses of this request */
	uint64_t started_ms;
	bool checks_end; /* made to see whether the target has ended */
};

/* Of a new connection to a target that has broken off a request. */
enum check_result {
	CHECK_REFUSED,
	CHECK_ACCEPTED,
	CHECK_UNKNOWN
};

/* What makes two requests the same. */
struct request_identity {
	uint64_t content; /* hash of method, host, path, account and body */
	uint32_t caller; /* hash of the caller's address */
};

/* What an answer says of the rate that its target takes from all entries. */
struct rate_statement {
	bool given; /* it says something */
	bool active; /* it names a rate */
	uint64_t micros_per_s; /* millionths of a request per second */
	uint64_t started_ms; /* incarnation of the target */
};

/* The rate that a target takes from all entries, as this entry knows it. */
struct rate_limit {
	bool active;
	bool by_probe; /* an answer to a probe has named it */
	uint64_t micros_per_s;
	uint64_t named_us; /* last answer that named it */
};

/* Connections to one target. */
struct pool {
	struct flow *flow;
	char *id;
	char *address;
	char *service;
	uint64_t started_ms; /* incarnation of the target */
	struct service *service_part;
	uint32_t failure_domain; /* hash */
	GQueue idle;
	GQueue all; /* all connections, including idle ones */
	struct upstream *probing; /* connection with a pending probe, or NULL */
	/* reserved for the next probe, or NULL */
	struct upstream *probe_upstream;
	GList link; /* in flow->connected_pools, while it has a connection */
	/* in flow->probe_queue; NULL: not probed by this entry */
	GSequenceIter *probe_iter;
	uint64_t probe_due_us; /* position in the probe queue */
	uint64_t probed_us; /* time of the last probe; 0: never */
	/* when a probe's answer told the rest of the warm-up; 0: never */
	uint64_t warmup_heard_us;
	bool assumed_cold; /* until its next probe is answered */
	bool evacuated; /* it gets no requests, probes or connections */
	struct rate_limit rate_limit;
	/* requests whose connections broke, while it is checked; or NULL */
	GArray *broken; /* of struct request_identity */
	bool checked; /* a first check of these was accepted */
	unsigned probe_failures;
};

/* One send of a request to a target. */
struct attempt {
	struct exchange *exchange;
	struct upstream *upstream; /* NULL after its end */
	char *target; /* target id; NULL: unused */
	uint32_t target_hash;
	uint64_t target_started_ms; /* incarnation; 0: not known here */
	uint64_t started_us;
	bool sent; /* a part of the request was written */
	bool remote; /* granted by another entry */
	bool unusable_here; /* not sent, for a reason of this entry */
	bool reset; /* the target reset the connection before an answer */
	bool has_load;
	struct target_load load;
	struct rate_statement rate; /* of its answer */
};

/*
 * Common head of the users of a placement: an own exchange or a call of another
 * entry.
 */
struct requester {
	bool remote;
};

/* A request of a caller, from its head to the end of the answer. */
struct exchange {
	struct requester requester; /* first */
	struct flow *flow;
	struct caller *caller; /* NULL after the caller has left */
	uint64_t id; /* for logs */
	char attempt_id[48]; /* of the caller */
	struct str_buf target; /* path and query */
	struct head head;
	struct request_identity identity;
	size_t head_charged; /* of both */
	struct request_body *body; /* NULL: none */
	enum http_method method;
	bool keep_alive;
	bool http_1_0;
	bool expects_continue; /* the caller waits for 100 before the body */
	bool ended; /* the answer is complete */
	bool streaming; /* a part of the answer has been forwarded */
	bool chunked;
	bool close_after;
	bool awaits_delivery; /* of earlier answers; it has no target yet */
	uint64_t awaits_since_us;
	uint64_t streamed_bytes; /* of the answer's body, so far */
	struct routes *routes;
	struct route *route;
	/* of the caller's key, in routes or account_routes; NULL: none */
	const struct account *account;
	struct routes *account_routes; /* its key has moved; NULL: it has not */
	struct exchange_allowance *allowance; /* NULL: has no limit */
	struct service *service;
	uint64_t arrival_us;
	uint64_t prior_wait_ms; /* waited by the caller on earlier tries */
	uint64_t objective_us;
	uint64_t deadline_us; /* earlier one of the caller's and the route's */
	uint64_t caller_deadline_us; /* of the caller alone */
	struct attempt attempts[ATTEMPTS_MAX];
	unsigned attempt_count;
	/* targets that could not be reached */
	uint32_t excluded[PLACEMENT_EXCLUDED_MAX];
	unsigned excluded_count;
	unsigned refused_grants; /* of targets that want nothing */
	GList parked; /* in flow->parked while its data is not NULL */
	bool was_parked;
	bool possibly_executed; /* a target may have executed it */
	/* failure status of a target, kept during retries */
	int fallback_status;
	/* the same response as it would be forwarded */
	struct str_buf fallback;
	struct str_buf out; /* answer data that is not written yet */
	size_t answer_charged; /* of both */
	uv_timer_t timer; /* deadline */
	uv_timer_t ask_timer;
	unsigned handles;
	uint64_t ask_id; /* id of the ask sent to the scheduler; 0: none */
	bool placed_locally;
	bool part_moved; /* its first part had no room */
	bool ask_repeat;
	bool ask_repeated; /* the open ask was sent more than once */
	bool scheduler_done; /* the scheduler has removed it */
	bool ask_rejected; /* and has said so itself */
	bool held;
	const char *scheduler_address; /* datagram address; interned */
	struct sockaddr_in scheduler_sockaddr; /* the scheduler */
	uint64_t ask_sent_boot_us; /* when the ask was sent last */
	unsigned ask_tries;
};

/*
 * A service, or one part of its targets if there are many: its placement on
 * this entry and whether this entry schedules it.
 */
struct service {
	struct flow *flow;
	char *name;
	char *whole_name; /* of the service of which it is a part */
	unsigned part; /* its number */
	unsigned parts; /* 1: it is the whole service */
	struct placement *placement;
	GPtrArray *pools; /* struct pool of each target */
	uint64_t name_hash;
	/* NULL: this entry; valid for scheduler_generation */
	struct peer_entry *scheduler;
	/* flow->fleet_generation when it was chosen */
	unsigned scheduler_generation;
	bool owner; /* this entry schedules it and probes its targets */
	bool busy; /* in flow->busy_services: it has calls */
	uint64_t log_due_us; /* time of the next line on its placement */
	uint64_t estimate_due_us; /* time of the next estimate to control */
	uint64_t held_back; /* of the placement, as counted in the metrics */
};

/* Number of targets of a service and of the parts they are split into. */
struct service_size {
	unsigned targets;
	unsigned parts; /* a power of two */
	/* Part of the next ask of an entry with another number of parts. */
	unsigned next;
	/* Of this entry's own requests; NULL until the first of several parts. */
	struct part_choice *choice;
	struct service **part_services; /* by number, while there is a choice */
	unsigned usable_generation; /* flow->usable_generation when counted */
	uint64_t count_due_boot_us; /* a target may be used again */
};

/* Another entry, as reported by control instances. */
struct peer_entry {
	char *address; /* datagram address; the key */
	uint64_t address_hash;
	char *instance;
	unsigned processor_millis;
	/* bit per control instance that reports it as connected */
	uint64_t sources;
	/* of these, the ones that have said so since they were last connected */
	uint64_t renewed;
	bool ready;
	bool stopping;
	struct sockaddr_in datagram;
	bool suspect; /* does not respond; pinged periodically */
	uint64_t ping_due_us; /* time of the next ping */
	unsigned timeouts;
	struct ended_asks ended_asks; /* of this entry at it */
	uint64_t asked_us; /* last ask of this entry to it; 0: none */
};

/* A control instance. */
struct control {
	struct channel *channel;
	unsigned source_bit;
	bool synced;
	bool primary; /* sends targets and entries as well */
	bool relay; /* keeps no log; few entries connect to it */
	/* lost; its data is kept until another one is synchronized */
	bool stale;
	bool reports_anew; /* it had reported entries before */
	/* entries that it has not reported again are dropped then; 0: none */
	uint64_t sweep_us;
	uint64_t opened_us;
	/* when it was last named by a member or as a seed */
	uint64_t last_named_us;
	uint64_t named_index; /* index of the newest document it announced */
};

/* A request of another entry in the placement of this entry. */
struct remote_call {
	struct requester requester; /* first */
	struct service *service;
	struct sockaddr_in from;
	uint64_t request;
	uint64_t deadline_us;
	char *granted; /* target of the last grant, or NULL */
	uint32_t route;
};

/* The text of a document, kept while newer ones may follow at once. */
struct read_text {
	uint64_t index; /* 0: none */
	uint64_t version;
	struct str_buf text;
	char from[ADDRESS_BYTES]; /* of the control instance that sent it */
	uint64_t first_us; /* when the first one since the last parse came */
};

struct flow {
	uv_loop_t *loop;
	struct flow_settings settings;
	struct flow_dialect dialect;
	uint32_t failure_domain; /* hash */
	struct random random;
	uint64_t started_ms;
	uint64_t next_id;
	/* State in force. */
	struct routes *routes;
	uint64_t document_index;
	/* index of the newest document announced or sent by anybody */
	uint64_t named_index;
	uint64_t parsed_index; /* of the last text, also an unreadable one */
	struct read_text read_text;
	uv_check_t text_check; /* active while a text is kept */
	/* when a document newer than the one in force was first announced */
	uint64_t named_us;
	bool late_logged; /* the line on that document's lateness */
	uint64_t fetch_due_us; /* time of the next fetch */
	/* later texts put the next fetch off no further than this */
	uint64_t fetch_latest_us;
	unsigned fetch_count; /* fetches of this document so far */
	/* asked for a text that has not come; only compared */
	const struct control *fetched_from;
	uint64_t fetch_retry_us; /* when that text counts as lost */
	struct roster *roster;
	struct leavings *leavings; /* departures that control does not know */
	struct aways *aways; /* targets that want nothing from this entry */
	struct crashes *crashes; /* requests under which targets end */
	bool limits_warmup; /* the document names a rate for cold targets */
	uint64_t cold_count_due_us; /* time of the next count of cold targets */
	/* evacuated failure domains: hash -> name */
	GHashTable *evacuated;
	uint64_t evacuation_index; /* log index of the last change */
	/* route id -> struct caller_timeouts */
	GHashTable *route_caller_timeouts;
	/* route id -> struct answer_sizes */
	GHashTable *route_answer_sizes;
	GHashTable *pools; /* target id -> struct pool */
	GQueue connected_pools; /* pools with a connection */
	GSequence *probe_queue; /* struct pool, ordered by probe_due_us */
	GQueue connecting; /* struct upstream, oldest first */
	GPtrArray *busy_services; /* services with calls */
	GHashTable *services; /* name, or name#part -> struct service */
	GHashTable *service_sizes; /* name -> struct service_size */
	/* incremented when the targets that this entry may use change */
	unsigned usable_generation;
	GHashTable *peer_entries; /* datagram address -> struct peer_entry */
	uint64_t own_address_hash; /* hash of the own datagram address */
	unsigned entries; /* size of the fleet, as reported by control */
	unsigned most_millis; /* largest processor time of an entry */
	/* incremented when the set of possible schedulers changes */
	unsigned fleet_generation;
	/* fleet_generation for which owners were computed */
	unsigned owners_generation;
	unsigned suspect_count; /* unresponsive entries */
	struct flow_allowance *allowance;
	GHashTable *controls; /* link address -> struct control */
	uint64_t control_bits; /* bits in use */
	uint64_t controls_expire_due_us; /* time of the next expiry scan */
	/* first open channel to control; 0: none yet */
	uint64_t first_opened_us;
	uint64_t first_synced_us; /* first complete synchronization */
	/* since when a primary has been synchronized; 0: none is */
	uint64_t synced_since_us;
	bool ready;
	uint64_t opened_us;
	uint64_t ready_us; /* since when */
	GQueue parked; /* struct exchange, waiting for the startup */
	uint64_t last_turn_boot_us; /* last recorded loop iteration */
	uint64_t resumed_boot_us; /* end of the last pause of the process */
	bool stopping;
	uint64_t stopping_ms;
	bool listening;
	void (*stopped)(void *ctx);
	void *on_stopped_ctx;
	/* Callers. */
	uv_tcp_t listener;
	uv_timer_t accept_timer; /* runs while a new one waits for a place */
	GQueue callers;
	struct memory_budget memory;
	GQueue memory_waiters; /* struct caller, oldest request first */
	GQueue ahead_waiters; /* struct caller with requests that wait */
	uv_timer_t ahead_timer; /* runs while there are any */
	struct connection_budget connections;
	struct connection_share share; /* of the addresses */
	GQueue turns; /* struct caller that go on in the next iteration */
	uv_idle_t turn; /* runs while there are any */
	uv_timer_t limit_timer; /* runs while all hold too much */
	unsigned closing_exchanges; /* ended ones whose timers are closing */
	GPtrArray *idle_blocks; /* of bodies */
	size_t idle_charged;
	uv_timer_t sweep;
	char input[READ_BYTES];
	/* Datagrams among entries. */
	uv_udp_t udp;
	char datagram[2048];
	uint64_t next_ask;
	GHashTable *pending_asks; /* ask id -> struct exchange */
	GHashTable *remote_calls; /* remote_key() -> struct remote_call */
	/* Calls freed since the reports of their ends were lost. */
	uint64_t freed_second; /* in which they were counted */
	unsigned freed_calls; /* in this second */
	uv_timer_t place_timer;
	struct loop_lag loop_lag;
	uv_timer_t probe_timer;
	struct log_limiter log_limiter;
	struct counter *requests;
	struct counter *answered;
	struct counter *rejected;
	struct counter *failed;
	struct counter *callers_left;
	struct counter *cut_requests;
	struct counter *cut_connections;
	struct counter *delivery_waits;
	struct counter *unsent_requests;
	struct counter *repeats;
	struct counter *probes;
	struct counter *connects;
	struct counter *local_placements;
	struct counter *leavings_heard;
	struct counter *departures_asked;
	struct counter *aways_heard;
	struct counter *rates_heard;
	struct counter *ends_seen;
	struct counter *crash_refusals;
	struct counter *quarantined;
	struct counter *refused_grants;
	struct counter *calls_freed;
	struct counter *part_choices[PART_REASONS];
	struct counter *resets_full;
	struct counter *cold_targets;
	struct counter *cold_held_back;
	struct counter *hedges[HEDGE_OUTCOMES];
	struct counter *evacuations;
	struct counter *scanned;
	struct counter *announcements_refused;
	struct counter *targets_asked_again;
	struct counter *loads_refused;
	struct counter *messages_refused;
	struct minute_log messages_log; /* by sender */
	struct counter *keys_refused[KEY_REASONS];
	/* account name -> struct account_requests */
	GHashTable *account_requests;
	/* of accounts that are no longer in the document */
	uint64_t other_account_requests;
	struct counter *log_dropped;
	struct counter *documents;
	struct counter *document_fetches;
	struct counter *document_version;
	struct counter *document_late_ms;
	struct counter *controls_open;
	struct counter *memory_bytes[MEMORY_USES];
	struct counter *memory_refused;
	struct counter *memory_waits;
	struct counter *limited[CONNECTION_LIMITS];
	struct counter *input_pauses;
	struct histogram latency; /* microseconds, answered requests */
};

#endif
