/*
 * Internal to routes_diff(): the accounts, and helpers for changed entries.
 */
#ifndef ROUTING_ROUTES_DIFF_ACCOUNTS_H
#define ROUTING_ROUTES_DIFF_ACCOUNTS_H

#include "routing/routes_diff.h"

/* Compares the accounts; NULL: the document has none. */
void routes_diff_accounts(const struct accounts *before,
    const struct accounts *after, GPtrArray *report) ATTR_NONNULL(3);
/* Appends a number, if it differs. */
void routes_diff_append(struct str_buf *text, const char *name, double before,
    double after) ATTR_NONNULL(1, 2);
/* Adds a changed entry, if the text isn't empty, and frees the text. */
void routes_diff_add_changed(GPtrArray *report, enum report_place place,
    const char *host, const char *name, struct str_buf *text)
    ATTR_NONNULL(1, 5);
gint routes_diff_compare_texts(gconstpointer a, gconstpointer b);

#endif
