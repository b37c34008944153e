#include "ctl/ctl_client.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "base/http_transfer.h"
#include "base/invariant.h"
#include "base/memory.h"

#define API_BASE "/gypsummill/v1"

enum {
	ADDRESSES_MAX = 16,
	HEADER_VALUE_BYTES = 256,
	REPLY_BODY_MAX_BYTES = 64 << 20,
	CONNECT_TIMEOUT_MS = 1000,
	RETRY_ROUND_DELAY_MS = 100,
	HTTP_OK = 200,
	HTTP_MULTIPLE_CHOICES = 300,
	HTTP_FORBIDDEN = 403,
	HTTP_NOT_FOUND = 404,
	HTTP_CONFLICT = 409,
	HTTP_CONTENT_TOO_LARGE = 413,
	HTTP_UNPROCESSABLE_CONTENT = 422,
	HTTP_PRECONDITION_REQUIRED = 428,
	HTTP_SERVICE_UNAVAILABLE = 503,
	HTTP_GATEWAY_TIMEOUT = 504
};

struct ctl_client {
	CURL *curl;
	const char *ca;
	struct str addresses[ADDRESSES_MAX];
	unsigned count;
	unsigned current; /* index of the instance to try next */
	uint64_t timeout_us;
};

/*
 * Creates a client, closed with ctl_client_close(); doesn't connect yet.
 * STATUS_INVALID if --controls is not set.
 */
enum status
ctl_client_open(const struct ctl_settings *settings, struct ctl_client **client)
{
	struct ctl_client *new_client;
	struct str rest = str_from(settings->controls);
	struct str address;

	if (settings->controls == NULL)
		return status_set(STATUS_INVALID,
		    "--controls (GYPSUMMILL_CONTROLS) is not set; this command "
		    "requires the operator ports IP:PORT,...");
	new_client = mem_calloc(1, sizeof(*new_client));
	while (new_client->count < ADDRESSES_MAX &&
	    str_split(&rest, ',', &address))
		new_client->addresses[new_client->count++] = address;
	new_client->ca = settings->ca;
	new_client->timeout_us = settings->timeout_ms * US_PER_MS;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	new_client->curl = curl_easy_init();
	INVARIANT(new_client->curl != NULL, "out of memory");
	*client = new_client;
	return STATUS_OK;
}

/*
 * Closes all connections and frees the client; NULL is allowed.
 */
void
ctl_client_close(struct ctl_client *client)
{
	if (client == NULL)
		return;
	curl_easy_cleanup(client->curl);
	curl_global_cleanup();
	mem_free(client);
}

/*
 * Frees the reply's body and resets the reply, so that it can be reused.
 */
void
ctl_reply_free(struct ctl_reply *reply)
{
	str_buf_free(&reply->body);
	*reply = (struct ctl_reply){0};
}

/*
 * libcurl write callback: appends to the reply's body.  Returns 0, which makes
 * libcurl abort the transfer, if the body would exceed REPLY_BODY_MAX_BYTES.
 */
static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct ctl_reply *reply = ctx;

	if (reply->body.len + size * count > REPLY_BODY_MAX_BYTES)
		return 0;
	str_buf_append(&reply->body, str_of(data, size * count));
	return size * count;
}

/* libcurl header callback: stores the revision of ETag, quoted or not. */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const struct str name = STR_LITERAL("ETag:");
	struct ctl_reply *reply = ctx;
	struct str line = str_of(data, size * count);
	struct str value;

	if (line.len <= name.len ||
	    strncasecmp(line.data, name.data, name.len) != 0)
		return size * count;
	value = str_trim(str_of(line.data + name.len, line.len - name.len));
	if (value.len > 2 && value.data[0] == '"')
		value = str_of(value.data + 1, value.len - 2);
	if (!str_to_u64(value, &reply->etag))
		reply->etag = 0;
	return size * count;
}

/* Appends "name: value"; returns the new head of the list. */
static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
	struct str_buf line = {0};
	struct curl_slist *new_list;

	str_buf_printf(&line, "%s: %s", name, value);
	new_list = curl_slist_append(list, line.data);
	INVARIANT(new_list != NULL, "out of memory");
	str_buf_free(&line);
	return new_list;
}

/*
 * Returns the request's headers, freed with curl_slist_free_all().  An edit
 * has its ID and, in If-Match or If-None-Match, its base revision.
 */
static struct curl_slist *
make_headers(const struct ctl_request *request)
{
	struct curl_slist *list = NULL;
	char value[HEADER_VALUE_BYTES];

	/* Keeps libcurl from waiting for "100 Continue" on a large body. */
	list = add_header(list, "Expect", "");
	if (request->token != NULL) {
		struct str_buf bearer = {0};

		str_buf_printf(&bearer, "Bearer %s", request->token);
		list = add_header(list, "Authorization", bearer.data);
		str_buf_free(&bearer);
	}
	if (request->edit_id == NULL)
		return list;
	list = add_header(list, "Content-Type", "application/yaml");
	list = add_header(list, "Gypsummill-Edit-Id", request->edit_id);
	if (request->author != NULL)
		list = add_header(list, "Gypsummill-Author", request->author);
	if (request->base_revision == 0)
		return add_header(list, "If-None-Match", "*");
	snprintf(value, sizeof(value), "\"%llu\"",
	    (unsigned long long)request->base_revision);
	return add_header(list, "If-Match", value);
}

/*
 * Sets the options of an attempt except URL and headers.  The request's body
 * is borrowed until the transfer ends.
 */
static void
set_request_options(struct ctl_client *client,
    const struct ctl_request *request, struct ctl_reply *reply,
    uint64_t timeout_us)
{
	CURL *curl = client->curl;

	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(
	    curl, CURLOPT_TIMEOUT_MS, (long)(timeout_us / US_PER_MS + 1));
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, reply);
	if (client->ca != NULL)
		curl_easy_setopt(curl, CURLOPT_CAINFO, client->ca);
	if (request->body.len == 0)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body.data);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body.len);
}

/*
 * Sends the request to the current instance.  Returns false, with the error as
 * status message, if no complete reply was received.
 */
static bool
send_to_instance(struct ctl_client *client, const struct ctl_request *request,
    struct ctl_reply *reply, uint64_t timeout_us)
{
	struct str address = client->addresses[client->current];
	struct curl_slist *headers = make_headers(request);
	struct str_buf url = {0};
	CURLcode code;

	ctl_reply_free(reply);
	set_request_options(client, request, reply, timeout_us);
	str_buf_printf(&url, "%s://%.*s" API_BASE "%.*s",
	    client->ca != NULL ? "https" : "http", STR_ARG(address),
	    STR_ARG(request->path));
	curl_easy_setopt(client->curl, CURLOPT_URL, url.data);
	curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, headers);
	code = http_transfer_perform(client->curl, on_header, reply);
	if (code == CURLE_OK)
		curl_easy_getinfo(
		    client->curl, CURLINFO_RESPONSE_CODE, &reply->http_status);
	else
		status_set(STATUS_UNAVAILABLE, "control %.*s: %s",
		    STR_ARG(address), curl_easy_strerror(code));
	str_buf_free(&url);
	curl_slist_free_all(headers);
	return code == CURLE_OK;
}

/*
 * Maps an HTTP status to a status; STATUS_UNAVAILABLE for all not listed.
 */
enum status
ctl_client_status_from_http(long http_status)
{
	if (http_status >= HTTP_OK && http_status < HTTP_MULTIPLE_CHOICES)
		return STATUS_OK;
	switch (http_status) {
	case HTTP_FORBIDDEN:
		return STATUS_DENIED;
	case HTTP_NOT_FOUND:
		return STATUS_NOT_FOUND;
	case HTTP_CONFLICT:
		return STATUS_CONFLICT;
	case HTTP_CONTENT_TOO_LARGE:
	case HTTP_UNPROCESSABLE_CONTENT:
	case HTTP_PRECONDITION_REQUIRED:
		return STATUS_INVALID;
	default:
		return STATUS_UNAVAILABLE;
	}
}

/*
 * Appends the member "detail", else "message", of a problem+json body; the
 * trimmed body if it has neither.
 */
void
ctl_client_append_detail(struct str body, struct str_buf *out)
{
	char *text = str_dup(body);
	struct json_object *problem = json_tokener_parse(text);
	struct json_object *detail;

	if (json_object_object_get_ex(problem, "detail", &detail) ||
	    json_object_object_get_ex(problem, "message", &detail))
		str_buf_append_c(out, json_object_get_string(detail));
	else
		str_buf_append(out, str_trim(body));
	json_object_put(problem);
	mem_free(text);
}

/*
 * Maps the reply's HTTP status to a status and, unless that is STATUS_OK, sets
 * the reply's detail as message.
 */
static enum status
reply_status(const struct ctl_reply *reply)
{
	enum status status = ctl_client_status_from_http(reply->http_status);
	struct str_buf detail = {0};

	if (status == STATUS_OK)
		return STATUS_OK;
	ctl_client_append_detail(str_buf_view(&reply->body), &detail);
	if (detail.len == 0)
		str_buf_printf(&detail, "control replied with HTTP status %ld",
		    reply->http_status);
	status_set(status, "%s", detail.data);
	str_buf_free(&detail);
	return status;
}

/*
 * Returns whether the reply is final.  After 503 or 504 another instance may
 * succeed.
 */
static bool
is_final(const struct ctl_reply *reply)
{
	return reply->http_status != HTTP_SERVICE_UNAVAILABLE &&
	    reply->http_status != HTTP_GATEWAY_TIMEOUT;
}

/*
 * Sends a request; see ctl_client.h.  All attempts of an edit have the same
 * edit ID, so it is applied at most once.
 */
enum status
ctl_client_send(struct ctl_client *client, const struct ctl_request *request,
    struct ctl_reply *reply)
{
	uint64_t deadline_us = clock_monotonic_us() + client->timeout_us;
	unsigned attempts = 0;

	for (;;) {
		uint64_t now_us = clock_monotonic_us();

		if (now_us >= deadline_us)
			break;
		if (send_to_instance(
			client, request, reply, deadline_us - now_us)) {
			if (is_final(reply))
				return reply_status(reply);
			(void)reply_status(reply);
		}
		client->current = (client->current + 1) % client->count;
		if (++attempts % client->count == 0)
			clock_sleep_us(RETRY_ROUND_DELAY_MS * US_PER_MS);
	}
	if (attempts == 0)
		return status_set(STATUS_UNAVAILABLE,
		    "--timeout expired before a request was sent");
	return STATUS_UNAVAILABLE;
}

/*
 * Appends text with all but RFC 3986's unreserved characters as %XX.
 */
void
ctl_client_append_escaped(struct str text, struct str_buf *out)
{
	char *escaped;

	/* libcurl calls strlen() if the length is 0. */
	if (text.len == 0)
		return;
	escaped = curl_easy_escape(NULL, text.data, (int)text.len);
	INVARIANT(escaped != NULL, "out of memory");
	str_buf_append_c(out, escaped);
	curl_free(escaped);
}
