#include "base/memory.h"

#include <stdlib.h>
#include <sys/mman.h>

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

/*
 * Returns zeroed pages outside of the heap; aborts when out of memory.  Unlike
 * freed parts of the heap they are always returned to the system.
 */
void *
mem_map(size_t bytes)
{
	void *pointer = mmap(NULL, bytes, PROT_READ | PROT_WRITE,
	    MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

	INVARIANT(pointer != MAP_FAILED, "out of memory");
	return pointer;
}

/*
 * Returns the pages of mem_map() to the system.
 */
void
mem_unmap(void *pointer, size_t bytes)
{
	INVARIANT(munmap(pointer, bytes) == 0, "no such mapping");
}
