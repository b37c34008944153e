/*
 * Signals of the programs: SIGTERM and SIGINT end the process, SIGHUP reopens
 * its log.  They are blocked in all threads, and one thread waits for them.
 */
#ifndef BASE_SIGNALS_H
#define BASE_SIGNALS_H

#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attr.h"

/* Must be called before any thread is created; ignores SIGPIPE and SIGXFSZ. */
void signals_block(sigset_t *set) ATTR_NONNULL_ALL;
/* Returns true when SIGTERM or SIGINT arrives within wait_us microseconds. */
bool signals_wait(const sigset_t *set, uint64_t wait_us) ATTR_NONNULL_ALL;
/* Waits for SIGTERM or SIGINT without a time limit. */
void signals_wait_term(const sigset_t *set) ATTR_NONNULL_ALL;

#endif
