#include "base/signals.h"

#include <pthread.h>
#include <time.h>

#include "base/clock.h"
#include "base/logger.h"

/*
 * Fills the set and blocks its signals in this thread and those it starts.
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
}

/*
 * Tells whether a signal ends the process; reopens the log on SIGHUP.
 */
static bool
is_termination(int number)
{
	if (number == SIGHUP)
		logger_reopen();
	return number == SIGTERM || number == SIGINT;
}

/*
 * Waits for one signal of the set; false as well when it was SIGHUP.
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
 * Returns once TERM or INT has come; handles SIGHUP meanwhile.
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
