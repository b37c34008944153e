/*
 * Assertions that stay enabled in release builds.  A violated invariant aborts
 * the process; no other error does.
 */
#ifndef BASE_INVARIANT_H
#define BASE_INVARIANT_H

void invariant_failed(const char *condition, const char *message,
    const char *file, int line) __attribute__((noreturn));

#define INVARIANT(condition, message)                                   \
	do {                                                            \
		if (!(condition))                                       \
			invariant_failed(                               \
			    #condition, (message), __FILE__, __LINE__); \
	} while (0)

#endif
