/*
 * Fetches sections from the control group.
 */
#ifndef CTL_CTL_REMOTE_H
#define CTL_CTL_REMOTE_H

#include "ctl/ctl.h"
#include "ctl/ctl_client.h"

/* A section as stored by the control group. */
struct ctl_remote {
	uint64_t revision; /* 0: the section does not exist */
	struct str_buf text;
};

/* Sends a GET; see ctl_client_send(). */
enum status ctl_remote_get(struct ctl *ctl, const char *path,
    struct ctl_reply *reply) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * revision 0: current.  A missing section is then STATUS_OK with
 * remote->revision 0.
 */
enum status
ctl_remote_get_section(struct ctl *ctl, struct str name, uint64_t revision,
    struct ctl_remote *remote) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_remote_free(struct ctl_remote *remote) ATTR_NONNULL_ALL;

#endif
