/*
 * Memory allocation that never fails: the process aborts when it runs out of
 * memory.  Every table has a bound of its own, so this is a violated
 * invariant.
 */
#ifndef BASE_MEMORY_H
#define BASE_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

void *mem_alloc(size_t bytes) ATTR_UNUSED_RESULT;
void *mem_calloc(size_t count, size_t bytes) ATTR_UNUSED_RESULT;
void *mem_resize(void *old, size_t bytes) ATTR_UNUSED_RESULT;
void mem_free(void *pointer);
void *mem_map(size_t bytes) ATTR_UNUSED_RESULT;
void mem_unmap(void *pointer, size_t bytes);

#endif
