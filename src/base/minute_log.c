#include "base/minute_log.h"

#include "base/clock.h"

enum {
	SENDERS_MAX = 64 /* logged in a minute */
};

/*
 * Returns whether a line is the first one of its sender in a minute, and the
 * minute has few senders so far.
 */
bool
minute_log_allow(struct minute_log *log, const char *sender, uint64_t now_us)
{
	uint64_t minute = now_us / (60 * US_PER_S);

	if (log->senders == NULL)
		log->senders = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	if (minute != log->minute)
		g_hash_table_remove_all(log->senders);
	log->minute = minute;
	return g_hash_table_size(log->senders) < SENDERS_MAX &&
	    g_hash_table_add(log->senders, g_strdup(sender));
}

/*
 * Frees the senders.
 */
void
minute_log_free(struct minute_log *log)
{
	if (log->senders != NULL)
		g_hash_table_destroy(log->senders);
	log->senders = NULL;
}
