#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/memory.h"
#include "refusal/refusal.h"

enum {
	HEX_BASE = 16,
	HEX_DIGITS_MAX = 16
};

struct refusal_log {
	pthread_mutex_t lock;
	char entry[REFUSAL_NAME_BYTES];
	uint64_t incarnation;
	uint64_t next_sequence; /* of the next refusal */
	uint32_t capacity;
	struct refusal *ring;
};

/*
 * Returns a log that keeps the last capacity refusals, at least one.
 */
struct refusal_log *
refusal_log_new(struct str entry, uint64_t incarnation, uint32_t capacity)
{
	struct refusal_log *log = mem_calloc(1, sizeof(*log));

	pthread_mutex_init(&log->lock, NULL);
	(void)snprintf(log->entry, sizeof(log->entry), "%.*s", STR_ARG(entry));
	log->incarnation = incarnation;
	log->capacity = capacity > 0 ? capacity : 1;
	log->ring = mem_calloc(log->capacity, sizeof(*log->ring));
	return log;
}

/*
 * Frees the log; NULL is allowed.  No thread may be using it.
 */
void
refusal_log_free(struct refusal_log *log)
{
	if (log == NULL)
		return;
	pthread_mutex_destroy(&log->lock);
	mem_free(log->ring);
	mem_free(log);
}

/*
 * Stores a copy and sets its id: ENTRY.INCARNATION.SEQUENCE, both numbers in
 * hexadecimal.
 */
void
refusal_log_add(struct refusal_log *log, struct refusal *refusal)
{
	pthread_mutex_lock(&log->lock);
	(void)snprintf(refusal->id, sizeof(refusal->id),
	    "%s.%" PRIx64 ".%" PRIx64, log->entry, log->incarnation,
	    log->next_sequence);
	log->ring[log->next_sequence % log->capacity] = *refusal;
	log->next_sequence++;
	pthread_mutex_unlock(&log->lock);
}

/*
 * Parses a hexadecimal number that is the whole string.
 */
static bool
hex_to_u64(struct str s, uint64_t *value)
{
	uint64_t sum = 0;

	if (s.len == 0 || s.len > HEX_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (c >= '0' && c <= '9')
			sum = sum * HEX_BASE + (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			sum = sum * HEX_BASE + (uint64_t)(c - 'a') + 10;
		else
			return false;
	}
	*value = sum;
	return true;
}

/*
 * Removes the part after the last dot from *s and returns it in *tail; returns
 * false without a dot.
 */
static bool
split_last(struct str *s, struct str *tail)
{
	size_t i = s->len;

	while (i > 0 && s->data[i - 1] != '.')
		i--;
	if (i == 0)
		return false;
	*tail = str_of(s->data + i, s->len - i);
	s->len = i - 1;
	return true;
}

/*
 * Splits an id; returns false if it is malformed.
 */
bool
refusal_id_parse(
    struct str id, struct str *entry, uint64_t *incarnation, uint64_t *sequence)
{
	struct str tail;

	*entry = id;
	if (!split_last(entry, &tail) || !hex_to_u64(tail, sequence))
		return false;
	if (!split_last(entry, &tail) || !hex_to_u64(tail, incarnation))
		return false;
	return entry->len > 0;
}

/*
 * Returns STATUS_CLOSED for a refusal that has been overwritten, or that was
 * issued in an earlier incarnation.
 */
static enum status
set_expired(struct str id)
{
	return status_set(STATUS_CLOSED,
	    "refusal %.*s was given here and is no longer kept", STR_ARG(id));
}

/*
 * Returns STATUS_NOT_FOUND for an id that is malformed, belongs to another
 * entry or has not been issued yet.
 */
static enum status
set_not_found(struct str id)
{
	return status_set(
	    STATUS_NOT_FOUND, "refusal %.*s was never given here", STR_ARG(id));
}

/*
 * Looks up a refusal by its id in constant time.
 */
enum status
refusal_log_find(
    struct refusal_log *log, struct str id, struct refusal *refusal)
{
	struct str entry;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t next_sequence;

	if (!refusal_id_parse(id, &entry, &incarnation, &sequence))
		return set_not_found(id);
	if (!str_equal_c(entry, log->entry) || incarnation > log->incarnation)
		return set_not_found(id);
	if (incarnation < log->incarnation)
		return set_expired(id);
	pthread_mutex_lock(&log->lock);
	next_sequence = log->next_sequence;
	*refusal = log->ring[sequence % log->capacity];
	pthread_mutex_unlock(&log->lock);
	if (sequence >= next_sequence)
		return set_not_found(id);
	if (next_sequence - sequence > log->capacity)
		return set_expired(id);
	return STATUS_OK;
}
