#include "base/memory.h"

#include <stdlib.h>

#include "base/invariant.h"

/*
 * Allocates uninitialised memory; aborts when out of memory.
 */
void *
mem_alloc(size_t bytes)
{
	void *pointer = malloc(bytes > 0 ? bytes : 1);

	INVARIANT(pointer != NULL, "out of memory");
	return pointer;
}

/*
 * Allocates zeroed memory for count objects; aborts when out of memory.
 */
void *
mem_calloc(size_t count, size_t bytes)
{
	void *pointer = calloc(count > 0 ? count : 1, bytes > 0 ? bytes : 1);

	INVARIANT(pointer != NULL, "out of memory");
	return pointer;
}

/*
 * Changes the size of a block as realloc(3); aborts when out of memory.
 */
void *
mem_resize(void *old, size_t bytes)
{
	void *pointer = realloc(old, bytes > 0 ? bytes : 1);

	INVARIANT(pointer != NULL, "out of memory");
	return pointer;
}

/*
 * Frees a block allocated by the above; NULL is allowed.
 */
void
mem_free(void *pointer)
{
	free(pointer);
}
