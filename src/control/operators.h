/*
 * HTTP API for operators, and the health and metrics pages of a control
 * instance, based on libmicrohttpd.
 */
#ifndef CONTROL_OPERATORS_H
#define CONTROL_OPERATORS_H

#include "control/control.h"

struct operators;

enum status
operators_open(const struct control_settings *settings, struct control *control,
    struct operators **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void operators_close(struct operators *operators);

#endif
