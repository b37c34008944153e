#include "ctl/ctl_remote.h"

/*
 * Sends a GET with the token of --token, if set; the reply is that of
 * ctl_client_send().
 */
enum status
ctl_remote_get(struct ctl *ctl, const char *path, struct ctl_reply *reply)
{
	struct ctl_request request = {
	    .method = "GET",
	    .path = str_from(path),
	    .token = ctl->settings->token,
	};

	return ctl_client_send(ctl->client, &request, reply);
}

/*
 * Fetches a section; see ctl_remote.h.  *remote is freed with
 * ctl_remote_free(), which is allowed after an error too.
 */
enum status
ctl_remote_get_section(struct ctl *ctl, struct str name, uint64_t revision,
    struct ctl_remote *remote)
{
	struct ctl_reply reply = {0};
	struct str_buf path = {0};
	enum status status;

	*remote = (struct ctl_remote){0};
	str_buf_append_c(&path, "/document/sections/");
	ctl_client_append_escaped(name, &path);
	if (revision != 0)
		str_buf_printf(
		    &path, "?revision=%llu", (unsigned long long)revision);
	status = ctl_remote_get(ctl, path.data, &reply);
	str_buf_free(&path);
	if (status == STATUS_OK) {
		remote->revision = reply.etag;
		remote->text = reply.body;
		return STATUS_OK;
	}
	ctl_reply_free(&reply);
	if (status == STATUS_NOT_FOUND && revision == 0)
		return STATUS_OK;
	return status;
}

/*
 * Frees the text and sets the revision to 0.
 */
void
ctl_remote_free(struct ctl_remote *remote)
{
	str_buf_free(&remote->text);
	remote->revision = 0;
}
