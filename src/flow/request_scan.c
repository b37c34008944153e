#include "flow/request_scan.h"

#include <glib.h>
#include <string.h>

/*
 * Scans a head or trailers.  A line that ends without a carriage return, or is
 * folded, is malformed.  Returns how many bytes belong to it, or -1.
 */
static ssize_t
scan_fields(struct request_scan *scan, const char *data, size_t len)
{
	char *tail = scan->tail;

	for (size_t i = 0; i < len; i++) {
		char c = data[i];

		if (c == '\n' && tail[2] != '\r')
			return -1;
		if ((c == ' ' || c == '\t') && tail[2] == '\n')
			return -1;
		if (c == '\n' && tail[1] == '\n' && tail[0] == '\r') {
			/* The parser skips empty lines before a request. */
			memset(tail, 0, sizeof(scan->tail));
			scan->head_bytes += i + 1;
			return (ssize_t)(i + 1);
		}
		tail[0] = tail[1];
		tail[1] = tail[2];
		tail[2] = c;
	}
	scan->head_bytes += len;
	return (ssize_t)len;
}

static void
begin_chunk(struct request_scan *scan)
{
	scan->part = REQUEST_CHUNK_SIZE;
	scan->has_size = false;
	scan->chunk_bytes = 0;
	scan->carriage_return = false;
}

/*
 * The line with a chunk's size has ended.
 */
static bool
end_size(struct request_scan *scan)
{
	if (!scan->has_size)
		return false;
	scan->carriage_return = false;
	scan->part = REQUEST_CHUNK_DATA;
	if (scan->chunk_bytes == 0) {
		scan->part = REQUEST_TRAILERS;
		memcpy(scan->tail, "0\r\n", sizeof(scan->tail));
	}
	return true;
}

/*
 * Scans one byte of a line around a chunk's data; returns false if it is
 * malformed.
 */
static bool
scan_chunk_line(struct request_scan *scan, char c)
{
	if (scan->carriage_return || c == '\n') {
		if (!scan->carriage_return || c != '\n')
			return false;
		if (scan->part != REQUEST_CHUNK_END)
			return end_size(scan);
		begin_chunk(scan);
		return true;
	}
	if (c == '\r') {
		scan->carriage_return = true;
		return true;
	}
	if (scan->part == REQUEST_CHUNK_EXTENSION)
		return true;
	if (scan->part == REQUEST_CHUNK_END || (c == ';' && !scan->has_size))
		return false;
	if (c == ';') {
		scan->part = REQUEST_CHUNK_EXTENSION;
		return true;
	}
	if (scan->has_size && (c == ' ' || c == '\t')) {
		scan->part = REQUEST_CHUNK_SPACE;
		return true;
	}
	if (scan->part != REQUEST_CHUNK_SIZE || !g_ascii_isxdigit(c) ||
	    scan->chunk_bytes > UINT64_MAX / 16)
		return false;
	scan->has_size = true;
	scan->chunk_bytes =
	    scan->chunk_bytes * 16 + (uint64_t)g_ascii_xdigit_value(c);
	return true;
}

/*
 * Scans a chunked body up to its end.
 */
static ssize_t
scan_chunks(struct request_scan *scan, const char *data, size_t len)
{
	size_t i = 0;

	while (i < len && scan->part != REQUEST_TRAILERS) {
		if (scan->part == REQUEST_CHUNK_DATA) {
			size_t n = len - i;

			if (n > scan->chunk_bytes)
				n = (size_t)scan->chunk_bytes;
			scan->chunk_bytes -= n;
			i += n;
			if (scan->chunk_bytes == 0)
				scan->part = REQUEST_CHUNK_END;
		} else if (!scan_chunk_line(scan, data[i++])) {
			return -1;
		}
	}
	if (i < len) {
		ssize_t n = scan_fields(scan, data + i, len - i);

		return n < 0 ? -1 : (ssize_t)i + n;
	}
	return (ssize_t)i;
}

/*
 * Returns how many bytes may be parsed, or -1 for malformed input.
 */
ssize_t
request_scan(struct request_scan *scan, const char *data, size_t len)
{
	if (scan->part == REQUEST_HEAD)
		return scan_fields(scan, data, len);
	return scan->part == REQUEST_BODY ? (ssize_t)len
					  : scan_chunks(scan, data, len);
}

/*
 * Continues behind the head.
 */
void
request_scan_body(struct request_scan *scan, bool chunked)
{
	if (chunked)
		begin_chunk(scan);
	else
		scan->part = REQUEST_BODY;
}
