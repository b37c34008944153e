/*
 * Output of callers' connections: as much as the socket accepts is written at
 * once, the rest is handed to libuv and counted.
 */
#include "base/memory.h"
#include "flow/flow_internal.h"

struct write {
	uv_write_t request;
	struct caller *caller;
	struct str_buf bytes;
	size_t charged;
	size_t unread; /* bytes when it was handed to libuv */
};

static void
write_free(struct write *write)
{
	str_buf_free(&write->bytes);
	write->caller->unread -= write->unread;
	memory_track(write->caller->flow, MEMORY_ANSWERS, &write->charged, 0);
	mem_free(write);
}

static void
on_written(uv_write_t *request, int status)
{
	struct write *write = (struct write *)request;
	struct caller *caller = write->caller;

	write_free(write);
	caller->writes--;
	if (caller->closing)
		return;
	if (status != 0) {
		caller_log_cut(caller, "connection_lost", uv_strerror(status));
		caller_close(caller);
		return;
	}
	caller->active_ms = uv_now(caller->flow->loop);
	caller_flush(caller);
}

/*
 * Hands what the socket has not taken to libuv, from an offset in bytes, which
 * are taken over.
 */
static void
queue_write(struct caller *caller, struct str_buf *bytes, size_t offset)
{
	struct write *write = mem_calloc(1, sizeof(*write));
	uv_buf_t buf =
	    uv_buf_init(bytes->data + offset, (unsigned)(bytes->len - offset));

	write->caller = caller;
	write->bytes = *bytes;
	*bytes = (struct str_buf){0};
	memory_track(caller->flow, MEMORY_ANSWERS, &write->charged,
	    write->bytes.capacity + sizeof(*write));
	write->unread = write->charged;
	caller->unread += write->unread;
	if (uv_write(&write->request, (uv_stream_t *)&caller->tcp, &buf, 1,
		on_written) != 0)
		write_free(write);
	else
		caller->writes++;
	limit_check(caller);
}

/*
 * Writes data immediately as far as the socket accepts it; returns how much.
 */
static size_t
write_at_once(struct caller *caller, struct str bytes)
{
	uv_buf_t buf = uv_buf_init((char *)bytes.data, (unsigned)bytes.len);
	int n = caller->writes == 0
	    ? uv_try_write((uv_stream_t *)&caller->tcp, &buf, 1)
	    : 0;

	caller->given += bytes.len;
	delivery_write(&caller->delivery, bytes.len);
	return n > 0 ? (size_t)n : 0;
}

/*
 * Hands a copy of data to libuv.
 */
static void
queue_copy(struct caller *caller, struct str bytes)
{
	struct str_buf copy = {0};

	str_buf_reserve(&copy, bytes.len + 1);
	str_buf_append(&copy, bytes);
	queue_write(caller, &copy, 0);
}

/*
 * Writes data, immediately as far as the socket accepts it.
 */
void
caller_write(struct caller *caller, struct str bytes)
{
	size_t written = write_at_once(caller, bytes);

	if (written < bytes.len)
		queue_copy(
		    caller, str_of(bytes.data + written, bytes.len - written));
}

/*
 * Writes the output of a request.  What the socket does not accept is not
 * copied if it is most of the buffer: a second copy of large answers would
 * count twice.
 */
void
caller_write_output(struct caller *caller, struct str_buf *out)
{
	struct str bytes = str_buf_view(out);
	size_t written = write_at_once(caller, bytes);
	size_t rest = bytes.len - written;

	if (rest >= out->capacity / 2)
		queue_write(caller, out, written);
	else if (rest > 0)
		queue_copy(caller, str_of(bytes.data + written, rest));
}
