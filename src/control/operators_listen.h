/*
 * HTTP listener for operators: address, certificate and limits.
 */
#ifndef CONTROL_OPERATORS_LISTEN_H
#define CONTROL_OPERATORS_LISTEN_H

#include <microhttpd.h>

#include "base/status.h"

enum {
	OPERATORS_CONNECTIONS_MAX = 64
};

/* Callbacks of the HTTP daemon; ctx is passed to all. */
struct operators_listen_callbacks {
	MHD_AccessHandlerCallback access;
	MHD_RequestCompletedCallback completed;
	MHD_NotifyConnectionCallback connection;
	void *ctx;
};

enum status operators_listen(const char *address, const char *certificate,
    const struct operators_listen_callbacks *callbacks, struct MHD_Daemon **out)
    ATTR_NONNULL(1, 3, 4) ATTR_UNUSED_RESULT;

#endif
