/*
 * Arena allocator for all strings and tables of a section, which are freed
 * together.
 */
#ifndef DOCUMENT_POLICY_ARENA_H
#define DOCUMENT_POLICY_ARENA_H

#include "base/str.h"

struct policy_arena;

struct policy_arena *policy_arena_new(size_t bytes_hint);
void policy_arena_free(struct policy_arena *arena);
void *policy_arena_alloc(struct policy_arena *arena, size_t count,
    size_t bytes) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
struct str
policy_arena_copy(struct policy_arena *arena, struct str text) ATTR_NONNULL_ALL;
size_t policy_arena_bytes(const struct policy_arena *arena) ATTR_NONNULL_ALL;

#endif
