/*
 * Tables for a terminal: aligned columns, numbers to the right, a few
 * words in colour.
 */
#ifndef CTL_CTL_TABLE_H
#define CTL_CTL_TABLE_H

#include "base/str.h"

struct ctl_table;

/* headings: "name|address|state" */
struct ctl_table *ctl_table_new(const char *headings, bool colour);
void ctl_table_free(struct ctl_table *table);
/* Appends a cell; a row is full when each column has one. */
void
ctl_table_add_cell(struct ctl_table *table, struct str text) ATTR_NONNULL(1);
void
ctl_table_add_number(struct ctl_table *table, uint64_t value) ATTR_NONNULL_ALL;
void ctl_table_render(
    const struct ctl_table *table, struct str_buf *out) ATTR_NONNULL_ALL;
/* Columns that a UTF-8 text takes on a terminal, a character one. */
size_t ctl_table_width(struct str text);

#endif
