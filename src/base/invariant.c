#include "base/invariant.h"

#include <stdio.h>
#include <stdlib.h>

/*
 * Prints the violated invariant and its location to standard error, and aborts.
 */
void
invariant_failed(
    const char *condition, const char *message, const char *file, int line)
{
	fprintf(stderr, "invariant broken: %s (%s) at %s:%d\n", message,
	    condition, file, line);
	abort();
}
