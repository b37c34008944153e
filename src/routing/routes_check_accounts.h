/*
 * The part of routes_check() about client accounts.
 */
#ifndef ROUTING_ROUTES_CHECK_ACCOUNTS_H
#define ROUTING_ROUTES_CHECK_ACCOUNTS_H

#include "routing/routes_check.h"

/* Checks the accounts of a document; list: its routes. */
void routes_check_accounts(const struct routes *routes, const GPtrArray *list,
    const struct routes_check_options *options,
    GPtrArray *report) ATTR_NONNULL_ALL;
/* The bytes of the shortest head of a request that matches a route. */
size_t routes_head_bytes(const struct route *route) ATTR_NONNULL_ALL;

#endif
