#include "base/signals.h"

#include <pthread.h>
#include <time.h>

#include "base/clock.h"
#include "base/logger.h"

/*
 * Sets *set to SIGTERM, SIGINT and SIGHUP and blocks them in this thread and
 * the threads it creates; ignores SIGPIPE, and SIGXFSZ, so that a write beyond
 * the limit of file sizes fails as on a full disk.
 */
void
signals_block(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
}

/*
 * Returns whether a signal ends the process; reopens the log on SIGHUP.
 */
static bool
is_termination(int number)
{
	if (number == SIGHUP)
		logger_reopen();
	return number == SIGTERM || number == SIGINT;
}

/*
 * Waits up to wait_us microseconds for a signal of the set.  Returns true on
 * SIGTERM or SIGINT, false on SIGHUP or time-out.
 */
bool
signals_wait(const sigset_t *set, uint64_t wait_us)
{
	struct timespec wait = {
	    .tv_sec = (time_t)(wait_us / US_PER_S),
	    .tv_nsec = (long)((wait_us % US_PER_S) * NS_PER_US),
	};

	return is_termination(sigtimedwait(set, NULL, &wait));
}

/*
 * Waits for SIGTERM or SIGINT; handles SIGHUP meanwhile.
 */
void
signals_wait_term(const sigset_t *set)
{
	int number;

	do {
		if (sigwait(set, &number) != 0)
			number = 0;
	} while (!is_termination(number));
}
