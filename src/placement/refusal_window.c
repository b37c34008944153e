#include "placement/refusal_window.h"

#include <string.h>

/*
 * Clears the slices that have passed since the last call.
 */
static void
advance(struct refusal_window *window, uint64_t now_us)
{
	uint64_t slice = now_us / (REFUSAL_WINDOW_US / REFUSAL_SLICES);

	if (slice > window->slice + REFUSAL_SLICES) {
		memset(window->sends, 0, sizeof(window->sends));
		memset(window->refused, 0, sizeof(window->refused));
		window->slice = slice;
	}
	while (window->slice < slice) {
		window->slice++;
		window->sends[window->slice % REFUSAL_SLICES] = 0;
		window->refused[window->slice % REFUSAL_SLICES] = 0;
	}
}

/*
 * Counts a send that has ended.
 */
void
refusal_window_record(
    struct refusal_window *window, bool refused, uint64_t now_us)
{
	advance(window, now_us);
	window->sends[window->slice % REFUSAL_SLICES]++;
	window->refused[window->slice % REFUSAL_SLICES] += refused ? 1 : 0;
	(void)refusal_window_refuses(window, now_us);
}

/*
 * Returns whether the targets refuse requests.  Without any send the last state
 * holds: a first send is always allowed, and ends it if it is accepted.
 */
bool
refusal_window_refuses(struct refusal_window *window, uint64_t now_us)
{
	unsigned sends = 0;
	unsigned refused = 0;

	advance(window, now_us);
	for (unsigned i = 0; i < REFUSAL_SLICES; i++) {
		sends += window->sends[i];
		refused += window->refused[i];
	}
	if (sends >= REFUSAL_SENDS_MIN && refused * 10 >= sends * 9)
		window->refuses = true;
	else if (sends > 0 && (sends - refused) * 4 >= sends)
		window->refuses = false;
	return window->refuses;
}
