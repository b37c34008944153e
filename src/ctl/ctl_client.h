/*
 * HTTP client for the operator ports of the control group.  A request is sent
 * to one instance after another until the leader replies or --timeout expires.
 */
#ifndef CTL_CTL_CLIENT_H
#define CTL_CTL_CLIENT_H

#include "ctl/ctl.h"

struct ctl_request {
	const char *method;
	struct str path; /* relative to the API's base path, with query */
	struct str body;
	const char *token; /* NULL: none */
	const char *edit_id; /* NULL: not an edit */
	const char *author;
	uint64_t base_revision; /* edits: for If-Match; 0: new section */
};

struct ctl_reply {
	long http_status; /* 0: no reply */
	uint64_t etag; /* revision; 0: none */
	struct str_buf body;
};

struct ctl_client;

enum status ctl_client_open(const struct ctl_settings *settings,
    struct ctl_client **client) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_client_close(struct ctl_client *client);
/*
 * Sends a request to one instance after another until one replies with a
 * status other than 503 (as from an instance that is not the leader) or 504.
 * The reply is overwritten and freed with ctl_reply_free().  Statuses other
 * than 2xx are returned as STATUS_CONFLICT, _DENIED, _INVALID, _NOT_FOUND or
 * _UNAVAILABLE, with the reply's detail as message.
 */
enum status
ctl_client_send(struct ctl_client *client, const struct ctl_request *request,
    struct ctl_reply *reply) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_reply_free(struct ctl_reply *reply) ATTR_NONNULL_ALL;
enum status ctl_client_status_from_http(long http_status);
/* Appends the detail of a problem+json body, or the whole body without one. */
void
ctl_client_append_detail(struct str body, struct str_buf *out) ATTR_NONNULL_ALL;
/* Appends text percent-encoded. */
void ctl_client_append_escaped(
    struct str text, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
