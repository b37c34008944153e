/*
 * Internal definitions of the event-driven entry.  Everything here belongs to
 * its event loop.
 */
#ifndef FLOW_FLOW_INTERNAL_H
#define FLOW_FLOW_INTERNAL_H

#include "flow/flow_types.h"

enum {
	/* Retry-After of a stop; a new connection takes as long. */
	OTHER_ENTRY_RETRY_US = 50 * 1000
};

/* The reason of a rejection by a stop, for logs and callers. */
extern const char exchange_stopping_reason[];

uint64_t flow_now_us(const struct flow *flow);
/*
 * Records a loop iteration.  After a pause of the process, older grants are
 * void.
 */
void flow_on_loop_iteration(struct flow *flow);
/* Counts the targets, entries and parts scanned by a timer. */
void flow_count_scanned(struct flow *flow, unsigned count);
/* Whether the log budget of this second allows one more line. */
bool flow_may_log(struct flow *flow);
bool flow_may_log_routine(struct flow *flow);
/* Counts and logs a message with a field out of its bounds. */
void flow_refuse_message(
    struct flow *flow, const char *sender, int kind, const char *field);

/* flow_fleet.c */
void fleet_open(struct flow *flow);
void fleet_close(struct flow *flow);
void fleet_tick(struct flow *flow);
void fleet_send_hello(struct flow *flow);
struct service *fleet_service(struct flow *flow, const char *name);
/* The scheduler of a service; NULL: this entry. */
struct peer_entry *fleet_scheduler(struct flow *flow, struct service *service);
/* As above, assuming that all connected entries are ready. */
struct peer_entry *
fleet_expected_scheduler(struct flow *flow, const struct service *service);
unsigned fleet_other_entry_count(const struct flow *flow);
bool fleet_may_schedule(const struct flow *flow);
/* Call this when the set of possible schedulers has changed. */
void fleet_invalidate_schedulers(struct flow *flow);
void fleet_update_owners(struct flow *flow);

/* Excludes an unresponsive entry from scheduling until it responds. */
void fleet_mark_suspect(struct flow *flow, struct peer_entry *peer_entry);
void fleet_clear_suspect(struct flow *flow, struct peer_entry *peer_entry);
/* One of a service's parts; the service itself if it has only one. */
struct service *
fleet_part(struct flow *flow, const char *name, unsigned parts, unsigned part);
/* The size of a service, which is created with one part. */
struct service_size *fleet_service_size(struct flow *flow, const char *name);
/*
 * Adopts a larger number of parts of a service, if it has enough targets.
 * Returns the number of parts.
 */
unsigned fleet_adopt_parts(struct flow *flow, const char *name, unsigned parts);
/*
 * The part named by another entry, or a local one in its place; NULL if the
 * service has no targets here.
 */
struct service *fleet_resolve_part(struct flow *flow, const char *text);
unsigned fleet_parts(struct flow *flow, const struct service *service);
void fleet_adopt_scheduler_parts(
    struct flow *flow, const struct service *service, unsigned parts);

/* flow_part.c: the choice among the parts of a service */
void part_open(struct flow *flow);
void part_reset(struct service_size *size);
void service_size_free(void *value);
/* The part of a service for its next request. */
struct service *fleet_next_part(struct flow *flow, const char *name);
/*
 * Gives a request that has no open ask or send another part if the number of
 * parts has changed.
 */
void part_update(struct exchange *x);
/* The usual work of a request at its part in microseconds; 0: not known. */
uint64_t part_work_us(const struct exchange *x);
/* The load of a part on this entry, for a message; 0: it is a whole service. */
uint32_t part_load(const struct service *service);
/* The scheduler of a part has reported its load. */
void part_on_load(const struct service *service, uint32_t load);
/*
 * Moves a request off a part without room, once; false if it stays.  After true
 * it may have ended.
 */
bool part_move(struct exchange *x);

/* flow_control.c: channels to control instances */
/*
 * Returns a control instance by its link address and connects to a new one;
 * NULL if there are too many.
 */
struct control *control_find_or_connect(struct flow *flow, const char *address);
void control_free(void *value);
void controls_choose_primaries(struct flow *flow);
void controls_send(struct flow *flow, const Fleet__Frame *frame);
/*
 * Sends a frame to one connected control instance, number turn in rotation;
 * false if none is connected.
 */
bool
controls_send_one(struct flow *flow, unsigned turn, const Fleet__Frame *frame);
void controls_expire(struct flow *flow, uint64_t now_us);
unsigned controls_count_open(const struct flow *flow);

/* flow_updates.c: frames from control instances */
void updates_on_frame(
    struct flow *flow, struct control *control, const Fleet__Frame *frame);
void updates_expect_all(struct flow *flow, struct control *control);
void updates_tick(struct flow *flow, uint64_t now_us);
void updates_drop_source(struct flow *flow, unsigned bit);
void peer_entry_free(void *value);

/* flow_document.c: documents, of which only the newest is parsed */
void document_open(struct flow *flow);
void document_close(struct flow *flow);
void document_on_update(
    struct flow *flow, struct control *from, const Fleet__Document *m);
/* Fetches an announced document when it is due. */
void document_fetch(struct flow *flow, uint64_t now_us);
/* Reports a document that was announced long ago and not received. */
void document_check_lateness(struct flow *flow, uint64_t now_us);

/* flow_service.c: services, their parts and their schedulers */
uint64_t rank_hash(uint64_t a, uint64_t b);
void flow_service_free(void *value);
void service_on_added(void *ctx, struct roster_target *target);
void service_on_removed(void *ctx, struct roster_target *target);
void fleet_ping_suspects(struct flow *flow, uint64_t now_us);

/* flow_caller.c */
enum status callers_open(struct flow *flow);
void callers_sweep(struct flow *flow);
void caller_flush(struct caller *caller);
void caller_close(struct caller *caller);
/* Reads on if nothing keeps the caller waiting. */
void caller_resume_reading(struct caller *caller);
/* Logs that a connection ends before its answers have arrived. */
void
caller_log_cut(struct caller *caller, const char *event, const char *reason);
/* Starts or resumes reading. */
void caller_read(struct caller *caller);
void caller_drop_partial_request(struct caller *caller);

/* flow_limit.c: bounds for callers' connections */
void limits_open(struct flow *flow);
void limits_close(struct flow *flow);
void limits_sweep(struct flow *flow);
void limits_set_socket(const struct flow *flow, uv_tcp_t *listener);
/* How many requests of a connection may be pending before it is not read on. */
unsigned limit_ahead_max(const struct caller *caller);
/* Whether the next request of a connection waits before it is parsed. */
bool limit_must_hold(const struct caller *caller);
void limit_hold(struct caller *caller, struct str input);
void limit_forget(struct caller *caller);
bool limit_queue_turn(struct caller *caller);
/* Closes connections soon if all hold too much; after a change of one. */
void limit_check(struct caller *caller);
void limit_release(struct caller *caller);
bool limit_admit(struct caller *caller);
/* Whether a new connection has a place, or one may be closed for it. */
bool limit_has_place(struct flow *flow);

/* flow_write.c: output */
void caller_write(struct caller *caller, struct str bytes);
/* The same, without a copy of most of the buffer, which may be taken over. */
void caller_write_output(struct caller *caller, struct str_buf *out);

/* flow_linger.c: the end of a caller's connection after its last answer */
void caller_linger(struct caller *caller);
void caller_sweep_lingering(struct caller *caller, uint64_t now_ms);
bool callers_yield_lingering(struct flow *flow);
/* Whether one that can't be closed for a new one yet probably can be soon. */
bool callers_may_yield_soon(const struct flow *flow);
/* Whether a part of the answers has not reached the caller's host. */
bool caller_is_undelivered(const struct caller *caller);
/* Whether it makes no progress; for connections with output. */
bool caller_has_stalled(struct caller *caller, uint64_t now_ms);

/* flow_ahead.c: requests that a caller sends ahead */
void ahead_open(struct flow *flow);
void ahead_close(struct flow *flow);
/*
 * Lets a request wait until the answers before it can be delivered soon; false
 * if it need not wait.  A stop ends it instead of letting it wait.
 */
bool ahead_hold(struct exchange *x);
/* The caller leaves. */
void ahead_forget(struct caller *caller);
/*
 * Ends the requests of a connection that wait, and all behind them: the
 * connection closes after the answers before them.  Returns false if none waits.
 */
bool ahead_drop(struct caller *caller);
/* Observes how much of the output is delivered. */
void ahead_sweep(struct caller *caller);
/* Records the size of a successful answer. */
void ahead_record_answer(const struct exchange *x, uint64_t bytes);

/* flow_stop.c */
uint64_t stop_age_ms(const struct flow *flow);
/* When a stop ends the requests that are not answered yet. */
uint64_t stop_end_ms(const struct flow *flow);
void stop_callers(struct flow *flow);
void stop_tick(struct flow *flow);

/* flow_read.c: parsing of callers' requests */
void caller_parse(struct caller *caller, const char *data, size_t len);
/*
 * Answers an invalid request and stops reading; returns the parser's error
 * code.
 */
int caller_fail(struct caller *caller, int status, const char *reason);
/* As above, with the time after which the caller may try again. */
int caller_end(struct caller *caller, int status, uint64_t retry_after_us,
    const char *reason);
/* Asks for the body of the request being read, once it is its turn. */
void caller_continue(struct caller *caller);

/* flow_exchange.c */
struct exchange *exchange_new(struct caller *caller);
void exchange_begin(struct exchange *x);
void exchange_free(struct exchange *x);
/* Ends all work of a request whose caller has left. */
void exchange_abandon(struct exchange *x);
void exchange_on_response(struct attempt *attempt);
/* The target reset the connection before any byte of a response. */
void exchange_on_reset(struct attempt *attempt, const char *reason);
/* The connection to the target ended before a complete response. */
void exchange_on_send_failed(struct attempt *attempt,
    enum placement_outcome outcome, const char *reason);
/* More data of a response that is streamed. */
void exchange_on_partial_response(struct attempt *attempt);
void exchange_refuse(struct exchange *x, int status, uint64_t retry_after_us,
    const char *reason);

/*
 * Ends a request that can't be retried, with a target's failure response or a
 * status of the entry itself.
 */
void exchange_end_with_failure(
    struct exchange *x, uint64_t retry_after_us, const char *reason);
bool exchange_has_open_attempt(const struct exchange *x);
/* Whether a target may have executed the request, or still may. */
bool exchange_may_have_run(const struct exchange *x);
/* The caller's timeout in milliseconds. */
uint64_t exchange_caller_timeout_ms(const struct exchange *x);
/* Ends a request that is not being streamed since the process will end. */
void exchange_end_by_stop(struct exchange *x);
/* Whether a target may still get the request. */
bool exchange_has_time_to_send(const struct exchange *x);
/* Sends again after a failed send, or ends the request. */
void exchange_retry(struct exchange *x, const char *reason);
/* Writes available output; this may free the request. */
void exchange_flush(struct exchange *x);
void exchange_end_attempts(struct exchange *x, enum placement_outcome outcome);
void exchange_log_end(
    struct exchange *x, const char *outcome, int status, const char *reason);

/* flow_account.c: client accounts and their keys */
void account_open(struct flow *flow);
/* Sets the account of a request; false after a 401. */
bool account_authenticate(struct exchange *x);
/* Whether a waiting request has to be refused since its key was withdrawn. */
bool account_is_withdrawn(struct exchange *x);
void account_refuse_withdrawn(struct exchange *x);
/* The rank of a request: its account's, or its route's. */
uint32_t account_rank(const struct exchange *x);

/* flow_account_counts.c: requests by account */
void account_counts_open(struct flow *flow);
void account_counts_close(struct flow *flow);
void account_count(struct flow *flow, const char *name);
/* Forgets the accounts that are not in the document in force. */
void account_counts_prune(struct flow *flow);
void account_render_counts(const struct flow *flow, struct str_buf *out);

/* flow_grant.c: answers of schedulers */
void exchange_on_grant(
    struct exchange *x, const char *target, bool remote, uint64_t expected_us);
void exchange_on_reject(
    struct exchange *x, uint64_t retry_after_us, enum placement_reason reason);

/* Tells the scheduler that a grant is not used. */
void exchange_return_grant(struct exchange *x, const char *target, bool remote);

/* flow_allowance.c: allowances of client accounts */
void allowance_open(struct flow *flow);
void allowance_close(struct flow *flow);
/*
 * Draws a token if one is needed; false if the request was refused, or waits
 * and will ask for a target itself.
 */
bool allowance_begin(struct exchange *x);
/* Keeps a grant until the token is there; false if it can be used. */
bool allowance_keep_grant(
    struct exchange *x, const char *target, bool remote, uint64_t expected_us);
/* Whether a grant is kept for a token. */
bool allowance_has_grant(const struct exchange *x);
void allowance_end(struct exchange *x);
void allowance_on_result(struct flow *flow, const Fleet__DrawResult *message);
void allowance_on_members(struct flow *flow, const Fleet__Members *m);
void allowance_on_connected(struct flow *flow);
void allowance_on_document(struct flow *flow);
void allowance_on_stop(struct flow *flow);

/* flow_startup.c */
uint64_t startup_remaining_us(const struct flow *flow);
/* Parks a request during the startup; false if it need not wait. */
bool startup_park(struct exchange *x);
void startup_unpark(struct exchange *x);
void startup_resume_parked(struct flow *flow);

/* flow_answer.c */
void answer_error(struct exchange *x, int status, uint64_t retry_after_us,
    const char *reason);
void answer_target_head(struct exchange *x, const struct upstream *up,
    bool complete, struct str_buf *out);
/* Makes an answer the last one of its connection. */
void answer_close_after(struct exchange *x);

/* flow_target.c */
void targets_open(struct flow *flow);
void targets_close(struct flow *flow);
void targets_sweep(struct flow *flow);
/* Closes idle connections: after a pause their age is unknown. */
void targets_close_idle(struct flow *flow);
/*
 * Checks the request of a connection that is about to be written, since the
 * document may have changed; false if it was refused.
 */
bool target_confirm_request(struct upstream *up);
/* Starts a send; false if no connection is available. */
bool target_send(struct attempt *attempt, struct pool *pool);
bool target_probe(struct pool *pool, const char *path);

/* flow_upstream.c: a connection to a target */
/* Starts a new connection; NULL if that fails immediately. */
struct upstream *upstream_connect(struct pool *pool);
/* Assigns a request, or a probe (NULL); returns the output buffer. */
struct str_buf *upstream_assign(struct upstream *up, struct attempt *attempt);
void upstream_send(struct upstream *up);
void upstream_release(struct upstream *up);
void upstream_close(struct upstream *up);
void upstream_pause(struct upstream *up, bool pause);
void upstream_drop_response(struct upstream *up);
/* Fails the request or probe of a connection and closes it. */
void upstream_fail(
    struct upstream *up, enum placement_outcome outcome, const char *reason);
void upstream_leave_queue(struct upstream *up);
void upstream_unlink(struct upstream *up);

/* flow_attribution.c: to which request a response belongs */
void attribution_on_head(struct upstream *up);
/* The target that has sent a final response; NULL if that is uncertain. */
const char *attribution_target(const struct upstream *up);
/* Whether a kept connection may serve a request. */
bool attribution_allows(const struct upstream *up, const struct exchange *x);

/* flow_leaving.c: targets that say in their answers that they leave */
void leaving_open(struct flow *flow);
void leaving_close(struct flow *flow);
/* Evaluates the head of a final response. */
void leaving_on_head(struct upstream *up);
/* Another entry reports that an incarnation of a target has departed. */
void
leaving_on_report(struct flow *flow, const char *target, uint64_t started_ms);
/* Control has recorded a departure. */
void
leaving_on_recorded(struct flow *flow, const char *target, uint64_t started_ms);
/* Whether an unusable target has departed; writes its newest incarnation. */
bool leaving_is_known(
    const struct flow *flow, const char *target, uint64_t *started_ms);
/* Asks control again for departures that it has not recorded yet. */
void leaving_tick(struct flow *flow);

/* flow_away.c: targets that want nothing from this entry for a time */
void away_open(struct flow *flow);
void away_close(struct flow *flow);
/* Evaluates the head of a final response. */
void away_on_head(struct upstream *up);
/* The remaining backoff of a target; 0 if it may be used. */
uint64_t away_left_us(const struct flow *flow, const char *target);
/* The shortest such time of a service's targets; 0 if not all are away. */
uint64_t away_service_left_us(const struct service *service);
void away_on_added(struct pool *pool);
void away_tick(struct flow *flow);

/* flow_rate.c: targets that name the rate that they take */
/* Evaluates the head of a final response. */
void rate_on_head(struct upstream *up);
/* Another entry reports what an answer has said. */
void rate_on_report(
    struct flow *flow, const char *target, const Fleet__RateLimit *report);
/* The target was added to a placement. */
void rate_on_added(struct pool *pool);

/* flow_crash.c: requests under which targets end */
/* Sets what makes a complete request the same as another. */
void crash_identify(struct exchange *x);
/* The target has closed the connection of a request that was sent to it. */
void crash_on_break(struct upstream *up);
void crash_on_checked(struct upstream *up, enum check_result result);
void crash_pool_clear(struct pool *pool);
void crash_open(struct flow *flow);
void crash_close(struct flow *flow);
/* A target has answered a request, or failed it itself. */
void crash_on_answered(const struct exchange *x);
/* How long a request is refused; 0: it may be sent. */
uint64_t crash_refused_us(const struct exchange *x);
void crash_refuse(struct exchange *x, uint64_t left_us);
void crash_on_report(struct flow *flow, const Fleet__Crash *crash);
void crash_on_quarantine(
    struct flow *flow, const Fleet__Quarantine *message, const char *source);
/* Tells a control instance that has connected what is refused. */
void crash_on_connected(struct flow *flow, struct channel *channel);
void crash_tick(struct flow *flow);

/* flow_hedge.c: second sends against slow answers */
void hedge_on_event(
    void *ctx, void *user, const char *target, enum hedge_outcome outcome);

/* flow_cold.c: targets in their warm-up */
/* A document came into force. */
void cold_on_document(struct flow *flow);
void cold_on_service(struct service *service);
/* Evaluates the answer to a probe. */
void cold_on_probe(struct pool *pool, const struct head *head);
void
cold_on_report(void *ctx, struct roster_target *target, uint64_t before_us);
void cold_on_added(struct pool *pool);
/* The target was without requests, e.g. in an evacuation. */
void cold_assume(struct pool *pool);
void cold_tick(struct flow *flow);

/* flow_evacuation.c: failure domains that get no requests */
void evacuation_open(struct flow *flow);
void evacuation_close(struct flow *flow);
/* Replaces the set by a newer one of control. */
void evacuation_on_update(struct flow *flow, const Fleet__Evacuations *message);
bool
evacuation_is_active(const struct flow *flow, uint32_t failure_domain_hash);

/* flow_evacuation_targets.c */
/* Called after each change of the set. */
void evacuation_apply(struct flow *flow);
void evacuation_on_added(struct pool *pool);

/* flow_response.c: parsing of targets' responses */
extern const http_parser_settings response_settings;
/* A response is complete; stray is true if more bytes follow it. */
void response_complete(struct upstream *up, bool stray);
bool response_read_load(const struct upstream *up, struct target_load *load);

/* flow_ask.c: asks sent to schedulers */
void schedule_ask(struct exchange *x, bool repeat);
/* Places a request on this entry's own view, without the scheduler. */
void schedule_locally(struct exchange *x, bool repeat);
void schedule_cancel(struct exchange *x);
bool schedule_is_stale(const struct exchange *x);
void schedule_complete(struct attempt *attempt, enum placement_outcome outcome);
bool schedule_is_other_start(const struct pool *pool, uint64_t started_ms);
/*
 * Tells something of a target, in a report on the end of no send, to the
 * scheduler of its service and to all that this entry has asked lately.
 */
void schedule_tell(const struct pool *pool, Fleet__Done *done);
void ask_on_grant(struct flow *flow, const Fleet__Grant *grant);
void ask_on_reject(struct flow *flow, const Fleet__Reject *reject);
void ask_on_held(struct flow *flow, const Fleet__Held *held);

/* flow_schedule.c: placements, and asks of other entries */
void schedule_open(struct flow *flow);
void schedule_close(struct flow *flow);
void schedule_on_probe(struct pool *pool, const struct target_load *load);
struct placement *schedule_placement(struct service *service);
/*
 * Submits a request to a local placement, whose timer runs while it has calls.
 */
bool schedule_submit(
    struct service *service, const struct placement_request *request);
/* Removes expired calls of other entries. */
void schedule_sweep(struct flow *flow, uint64_t now_us);
void schedule_on_ask(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Ask *ask);
/* Frees the call of an ask; false if there is none. */
bool schedule_on_cancel(
    struct flow *flow, const struct sockaddr_in *from, uint64_t request);
void schedule_on_done(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Done *done);

/* flow_estimate.c */
/* What others have learnt of a service, kept for when it falls to this entry. */
void schedule_adopt_grant(
    struct service *service, const Fleet__Grant *grant, uint32_t route);
void schedule_on_estimate(struct flow *flow, const Fleet__Estimate *estimate);
void schedule_send_estimate(struct service *service, uint64_t now_us);

/* flow_datagram.c */
enum status datagram_open(struct flow *flow);
void datagram_close(struct flow *flow);
void datagram_send(struct flow *flow, const struct sockaddr_in *to,
    const Fleet__Datagram *datagram);
/* Pings an unresponsive entry. */
void datagram_send_ping(struct flow *flow, const struct peer_entry *peer_entry);

/* flow_probe.c */
void probe_open(struct flow *flow);
void probe_close(struct flow *flow);
/*
 * Starts or stops probing a target, depending on whether this entry schedules
 * its service.
 */
void probe_update(struct pool *pool);
void probe_remove(struct pool *pool);

#endif
