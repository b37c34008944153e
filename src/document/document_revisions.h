/*
 * Texts of replaced section revisions, retained so that a refusal can be
 * explained with the section as it was when it decided.  Bounded by total size;
 * the text replaced first is evicted first.
 */
#ifndef DOCUMENT_DOCUMENT_REVISIONS_H
#define DOCUMENT_DOCUMENT_REVISIONS_H

#include "base/str.h"

#define DOCUMENT_REVISIONS_MAX_BYTES (UINT64_C(8) << 20)

struct document_revisions;
typedef void document_revisions_visitor(
    void *ctx, struct str section, uint64_t revision, struct str text);

struct document_revisions *document_revisions_new(void);
void document_revisions_free(struct document_revisions *texts);
void document_revisions_add(struct document_revisions *texts,
    struct str section, uint64_t revision, struct str text) ATTR_NONNULL(1);
bool document_revisions_find(const struct document_revisions *texts,
    struct str section, uint64_t revision, struct str *text) ATTR_NONNULL(1, 4);
uint32_t document_revisions_count(
    const struct document_revisions *texts) ATTR_NONNULL_ALL;
/* Iterates over all texts, oldest first. */
void document_revisions_for_each(const struct document_revisions *texts,
    document_revisions_visitor *visit, void *ctx) ATTR_NONNULL(1, 2);

#endif
