/*
 * HTTP to the operators' ports of the control group.  A request goes from
 * one instance to the next until the leader answers or the time is over.
 */
#ifndef CTL_CTL_CLIENT_H
#define CTL_CTL_CLIENT_H

#include "ctl/ctl.h"

struct ctl_request {
	const char *method;
	struct str path; /* below the API's base, with query */
	struct str body;
	const char *token; /* NULL: none */
	const char *edit_id; /* NULL: not an edit */
	const char *author;
	uint64_t base_revision; /* edits: for If-Match; 0: new section */
};

struct ctl_reply {
	long http_status; /* 0: no answer */
	uint64_t etag; /* 0: none */
	struct str_buf body;
};

struct ctl_client;

enum status ctl_client_open(const struct ctl_settings *settings,
    struct ctl_client **client) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_client_close(struct ctl_client *client);
/*
 * Sends until an instance answers other than "not the leader".  The reply
 * is overwritten and freed with ctl_reply_free(); statuses other than 2xx
 * become STATUS_CONFLICT, _DENIED, _INVALID, _NOT_FOUND or _UNAVAILABLE
 * with the reply's detail as message.
 */
enum status
ctl_client_send(struct ctl_client *client, const struct ctl_request *request,
    struct ctl_reply *reply) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_reply_free(struct ctl_reply *reply) ATTR_NONNULL_ALL;
enum status ctl_client_status_from_http(long http_status);
/* The text for people in a problem+json body; the body when it is none. */
void
ctl_client_append_detail(struct str body, struct str_buf *out) ATTR_NONNULL_ALL;
/* Appends text with all but unreserved characters as %XX. */
void ctl_client_append_escaped(
    struct str text, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
