#include "control/operators.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/connection_guard.h"
#include "base/counter.h"
#include "base/linger_pool.h"
#include "base/logger.h"
#include "base/memory.h"
#include "control/operators_listen.h"
#include "control/operators_route.h"

enum {
	BODY_MAX_BYTES = 1 << 20,
	/*
	 * A body over the limit is read up to this size, so that its sender
	 * gets to read the answer.
	 */
	BODY_READ_BYTES = 4 << 20,
	NUMBER_BYTES = 32
};

static const uint64_t job_timeout_us = 8 * US_PER_S;
static const uint64_t body_timeout_us = 30 * US_PER_S;

/* Time for the answers that are under way when the listener stops. */
static const uint64_t stop_answers_us = 3 * US_PER_S;
static const uint64_t stop_poll_us = 20 * US_PER_MS;

struct operators {
	struct MHD_Daemon *daemon;
	struct control *control;
	struct counter *requests;
	struct linger_pool *lingering;
	struct connection_guard *guard;
	atomic_bool closing; /* answers close their connections */
	pthread_mutex_t lock; /* guards the rest */
	unsigned exchanges;
	int connections[OPERATORS_CONNECTIONS_MAX]; /* sockets */
	unsigned connection_count;
};

/* An HTTP exchange, from the request's headers until the answer is sent. */
struct exchange {
	struct job *job;
	bool answered; /* answered without the loop */
	uint64_t body_deadline_us;
	size_t received; /* bytes */
};

/*
 * Adds a header to a response; a header that the library rejects is left out.
 */
static void
add_header(struct MHD_Response *response, const char *name, const char *value)
{
	(void)MHD_add_response_header(response, name, value);
}

/*
 * Queues the response of a finished job with its content type, ETag and
 * revision.
 */
static enum MHD_Result
queue_answer(struct operators *operators, struct MHD_Connection *conn,
    const struct job *job)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    job->body.len, job->body.data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char number[NUMBER_BYTES];

	if (response == NULL)
		return MHD_NO;
	add_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, job->content_type);
	if (atomic_load(&operators->closing))
		add_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	if (job->retry_after_s != 0) {
		snprintf(number, sizeof(number), "%u", job->retry_after_s);
		add_header(response, MHD_HTTP_HEADER_RETRY_AFTER, number);
	}
	if (job->etag != 0) {
		snprintf(number, sizeof(number), "\"%llu\"",
		    (unsigned long long)job->etag);
		add_header(response, MHD_HTTP_HEADER_ETAG, number);
	}
	if (job->document_revision != 0) {
		snprintf(number, sizeof(number), "%llu",
		    (unsigned long long)job->document_revision);
		add_header(response, "Gypsummill-Revision", number);
	}
	result = MHD_queue_response(conn, (unsigned)job->http_status, response);
	MHD_destroy_response(response);
	return result;
}

/*
 * Queues a 504 response.  It uses a job of its own, since the loop may still
 * write to the exchange's job.
 */
static enum MHD_Result
queue_timeout_answer(struct operators *operators, struct MHD_Connection *conn)
{
	struct job *job = job_new(JOB_STATUS);
	enum MHD_Result result;

	job_finish_with_problem(job, MHD_HTTP_GATEWAY_TIMEOUT, "unknown",
	    "no answer in time: an edit may or may not be accepted; "
	    "resend it with the same edit id");
	result = queue_answer(operators, conn, job);
	job_put(job);
	return result;
}

/*
 * Ends the exchange with a problem before the job is submitted to the loop.
 */
static void
reject_exchange(
    struct exchange *exchange, int status, const char *code, const char *detail)
{
	job_finish_with_problem(exchange->job, status, code, "%s", detail);
	exchange->answered = true;
}

/*
 * Rejects a body larger than BODY_MAX_BYTES.
 */
static void
reject_body(struct exchange *exchange)
{
	reject_exchange(exchange, MHD_HTTP_CONTENT_TOO_LARGE, "body-unusable",
	    "the section is larger than 1 MiB");
}

/*
 * Fills the response of a page that does not need the loop.
 */
static void
fill_page(struct exchange *exchange, enum operators_page page)
{
	struct job *job = exchange->job;

	exchange->answered = true;
	if (page == OPERATORS_PAGE_LIVE) {
		str_buf_append_c(&job->body, "live\n");
		job_finish(job, MHD_HTTP_OK, "text/plain");
	} else if (page == OPERATORS_PAGE_METRICS) {
		counter_render(&job->body);
		job_finish(job, MHD_HTTP_OK, "text/plain; version=0.0.4");
	} else
		reject_exchange(exchange, MHD_HTTP_NOT_FOUND, "not-found",
		    "no such method and path");
}

/*
 * Starts an exchange and answers all that can be answered from the headers
 * alone.
 */
static struct exchange *
begin_exchange(
    struct MHD_Connection *conn, const char *path, const char *method)
{
	struct exchange *exchange = mem_calloc(1, sizeof(*exchange));
	enum job_kind kind;
	struct str name;
	enum operators_page page =
	    operators_route_find(method, path, &kind, &name);
	const char *wrong;

	exchange->body_deadline_us = clock_monotonic_us() + body_timeout_us;
	exchange->job = job_new(kind);
	if (page != OPERATORS_PAGE_API) {
		fill_page(exchange, page);
		return exchange;
	}
	operators_route_fill_job(conn, exchange->job, name);
	wrong = operators_route_check(conn, exchange->job);
	if (wrong != NULL)
		reject_exchange(exchange, MHD_HTTP_PRECONDITION_REQUIRED,
		    "precondition-required", wrong);
	return exchange;
}

/* Returns the Content-Length in bytes; 0 if there is none. */
static uint64_t
content_length(struct MHD_Connection *conn)
{
	const char *text = MHD_lookup_connection_value(
	    conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	uint64_t bytes;

	return text != NULL && str_to_u64(str_from(text), &bytes) ? bytes : 0;
}

/* Returns the socket of a connection. */
static int
connection_socket(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
	    ->connect_fd;
}

/*
 * Handles the end of the headers.  A rejected request is answered at once if
 * its body is too long to read or its sender waits for "100 Continue".
 */
static enum MHD_Result
on_headers(struct operators *operators, struct MHD_Connection *conn,
    struct exchange *exchange)
{
	uint64_t bytes = content_length(conn);
	bool waits = MHD_lookup_connection_value(
			 conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT) != NULL;

	if (bytes > BODY_MAX_BYTES && !exchange->answered)
		reject_body(exchange);
	if (exchange->answered && (bytes > BODY_READ_BYTES || waits))
		return queue_answer(operators, conn, exchange->job);
	return MHD_YES;
}

/*
 * Handles a part of the body.  Returns MHD_NO, which closes the connection, if
 * the body is longer than BODY_READ_BYTES or slower than body_timeout_us.
 */
static enum MHD_Result
on_body(struct exchange *exchange, struct str part)
{
	exchange->received += part.len;
	if (exchange->received > BODY_READ_BYTES ||
	    clock_monotonic_us() > exchange->body_deadline_us)
		return MHD_NO;
	if (exchange->answered)
		return MHD_YES;
	if (exchange->received > BODY_MAX_BYTES)
		reject_body(exchange);
	else if (exchange->job->kind == JOB_EDIT)
		str_buf_append(&exchange->job->text, part);
	return MHD_YES;
}

/*
 * Handles the end of the request: runs the job on the loop and waits for it, or
 * sends the response that is already there.
 */
static enum MHD_Result
on_request_end(struct operators *operators, struct MHD_Connection *conn,
    struct exchange *exchange)
{
	/* It was shut down at a limit: nobody would get the answer. */
	if (!connection_guard_requested(
		operators->guard, connection_socket(conn)))
		return MHD_NO;
	if (!exchange->answered && exchange->job->kind == JOB_EDIT &&
	    exchange->job->text.len == 0)
		reject_exchange(exchange, MHD_HTTP_UNPROCESSABLE_CONTENT,
		    "invalid", "the section has no text");
	if (!exchange->answered) {
		control_submit(operators->control, exchange->job);
		if (!job_wait(exchange->job, job_timeout_us))
			return queue_timeout_answer(operators, conn);
	}
	return queue_answer(operators, conn, exchange->job);
}

static void
count_exchange(struct operators *operators, int change)
{
	pthread_mutex_lock(&operators->lock);
	operators->exchanges += (unsigned)change;
	pthread_mutex_unlock(&operators->lock);
}

/*
 * Access handler of libmicrohttpd: called once for the headers, for each part
 * of the body and at its end.
 */
static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version ATTR_UNUSED, const char *part,
    size_t *part_bytes, void **request_ctx)
{
	struct operators *operators = ctx;
	struct exchange *exchange = *request_ctx;
	enum MHD_Result result;

	if (exchange == NULL) {
		counter_add(operators->requests, 1);
		count_exchange(operators, 1);
		exchange = begin_exchange(conn, path, method);
		*request_ctx = exchange;
		return on_headers(operators, conn, exchange);
	}
	if (*part_bytes > 0) {
		result = on_body(exchange, str_of(part, *part_bytes));
		*part_bytes = 0;
		return result;
	}
	return on_request_end(operators, conn, exchange);
}

/*
 * Frees an exchange, however it ended.
 */
static void
on_completed(void *ctx, struct MHD_Connection *conn ATTR_UNUSED,
    void **request_ctx, enum MHD_RequestTerminationCode why ATTR_UNUSED)
{
	struct exchange *exchange = *request_ctx;

	if (exchange == NULL)
		return;
	job_put(exchange->job);
	mem_free(exchange);
	*request_ctx = NULL;
	count_exchange(ctx, -1);
}

/*
 * Shuts down the sending side of a connection and keeps it open until the
 * operator has the last answer.
 */
static void
linger(struct operators *operators, int fd)
{
	shutdown(fd, SHUT_WR);
	(void)linger_pool_add(operators->lingering, fd);
}

/*
 * Keeps the list of connections.  A connection is reported as closed before its
 * socket is closed.
 */
static void
on_connection(void *ctx, struct MHD_Connection *conn,
    void **socket_ctx ATTR_UNUSED, enum MHD_ConnectionNotificationCode what)
{
	struct operators *operators = ctx;
	int fd = connection_socket(conn);
	bool shut = false;
	unsigned i = 0;

	if (what == MHD_CONNECTION_NOTIFY_STARTED) {
		connection_guard_serve(operators->guard, 1);
	} else {
		connection_guard_serve(operators->guard, -1);
		shut = connection_guard_closing(operators->guard, fd);
	}
	pthread_mutex_lock(&operators->lock);
	if (what == MHD_CONNECTION_NOTIFY_STARTED) {
		if (operators->connection_count < OPERATORS_CONNECTIONS_MAX)
			operators->connections[operators->connection_count++] =
			    fd;
	} else {
		while (i < operators->connection_count &&
		    operators->connections[i] != fd)
			i++;
		if (i < operators->connection_count)
			operators->connections[i] =
			    operators
				->connections[--operators->connection_count];
		if (!shut)
			linger(operators, fd);
	}
	pthread_mutex_unlock(&operators->lock);
}

/*
 * Waits until all requests are answered, until until_us at most; logs those
 * that are not.
 */
static void
wait_for_answers(struct operators *operators, uint64_t until_us)
{
	unsigned exchanges;

	for (;;) {
		pthread_mutex_lock(&operators->lock);
		exchanges = operators->exchanges;
		pthread_mutex_unlock(&operators->lock);
		if (exchanges == 0)
			return;
		if (clock_monotonic_us() >= until_us)
			break;
		clock_sleep_us(stop_poll_us);
	}
	log_warn("operators_cut", "reason=\"the stop has ended\" requests=%u",
	    exchanges);
}

/*
 * Waits until the operators have their last answers, until until_us at most.
 */
static void
wait_for_operators(struct operators *operators, uint64_t until_us)
{
	pthread_mutex_lock(&operators->lock);
	for (unsigned i = 0; i < operators->connection_count; i++)
		linger(operators, operators->connections[i]);
	pthread_mutex_unlock(&operators->lock);
	while (linger_pool_count(operators->lingering) > 0 &&
	    clock_monotonic_us() < until_us)
		clock_sleep_us(stop_poll_us);
}

/*
 * Ends what operators_open() has begun; the daemon has stopped or not started.
 */
static void
free_operators(struct operators *operators)
{
	connection_guard_free(operators->guard);
	linger_pool_free(operators->lingering);
	pthread_mutex_destroy(&operators->lock);
	mem_free(operators);
}

/*
 * Starts the operators' listener.  STATUS_INVALID or STATUS_IO if the address,
 * the port or the certificate cannot be used.
 */
enum status
operators_open(const struct control_settings *settings, struct control *control,
    struct operators **out)
{
	struct operators *operators = mem_calloc(1, sizeof(*operators));
	const struct operators_listen_callbacks callbacks = {
	    .access = on_access,
	    .completed = on_completed,
	    .connection = on_connection,
	    .ctx = operators,
	};
	enum status status;

	operators->control = control;
	operators->lingering = linger_pool_new(OPERATORS_CONNECTIONS_MAX);
	operators->guard =
	    connection_guard_new(&(struct connection_guard_settings){
		.instance = settings->instance,
		.what = "operators",
		.threads = OPERATORS_CONNECTIONS_MAX,
		.address_max = (unsigned)settings->connections_per_address,
	    });
	pthread_mutex_init(&operators->lock, NULL);
	operators->requests = counter_register(COUNTER_TOTAL,
	    "gypsummill_operator_requests_total",
	    "Requests from operators (count)", NULL);
	status = operators_listen(settings->operator_listen,
	    settings->operator_certificate, &callbacks, &operators->daemon);
	if (status != STATUS_OK) {
		free_operators(operators);
		return status;
	}
	connection_guard_start(operators->guard,
	    MHD_get_daemon_info(operators->daemon, MHD_DAEMON_INFO_BIND_PORT)
		->port);
	*out = operators;
	return STATUS_OK;
}

/*
 * Closes the listener, waits for the answers that are under way, for
 * stop_answers_us at most, and stops the daemon; NULL is allowed.
 * control_run() has returned, so that no request waits for the loop.
 */
void
operators_close(struct operators *operators)
{
	uint64_t until_us = clock_monotonic_us() + stop_answers_us;
	MHD_socket listener;

	if (operators == NULL)
		return;
	atomic_store(&operators->closing, true);
	listener = MHD_quiesce_daemon(operators->daemon);
	if (listener != MHD_INVALID_SOCKET)
		close(listener);
	wait_for_answers(operators, until_us);
	/* The daemon's stop shuts both sides, so that input causes a reset. */
	wait_for_operators(operators, until_us);
	MHD_stop_daemon(operators->daemon);
	free_operators(operators);
}
