/*
 * The CURVE keys that may connect: every NAME.public in the key folder.  A
 * thread answers ZeroMQ's authentication requests (ZAP, RFC 27).
 */
#ifndef LINK_ALLOWLIST_H
#define LINK_ALLOWLIST_H

#include "base/status.h"

struct allowlist;

/*
 * Must be called before the context's first server socket is created;
 * STATUS_IO when the ZAP socket or the thread can't be created.
 */
enum status allowlist_open(void *zmq_context, const char *folder,
    struct allowlist **allowlist) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* Must be called after the ZeroMQ context was shut down. */
void allowlist_close(struct allowlist *allowlist);

#endif
