/*
 * Text tables for a terminal: aligned columns, numbers right-aligned, words for
 * states in colour.
 */
#ifndef CTL_CTL_TABLE_H
#define CTL_CTL_TABLE_H

#include "base/str.h"

struct ctl_table;

/* headings: separated by '|', such as "name|address|state" */
struct ctl_table *ctl_table_new(const char *headings, bool colour);
void ctl_table_free(struct ctl_table *table);
/* Adds a cell, row by row. */
void
ctl_table_add_cell(struct ctl_table *table, struct str text) ATTR_NONNULL(1);
void
ctl_table_add_number(struct ctl_table *table, uint64_t value) ATTR_NONNULL_ALL;
void ctl_table_render(
    const struct ctl_table *table, struct str_buf *out) ATTR_NONNULL_ALL;
/* Width of a UTF-8 text on a terminal, taking each code point as 1 column. */
size_t ctl_table_width(struct str text);

#endif
