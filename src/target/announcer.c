#include "target/announcer.h"

#include <pthread.h>
#include <time.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/str.h"

enum {
	CALL_TIMEOUT_MS = 3000,
	RETRY_MS = 200, /* between tries while no entry takes it */
	HTTP_OK = 200
};

struct announcer {
	struct announcer_settings settings;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t sequence;
	uint64_t started_us;
	unsigned entry; /* index into the list */
	bool draining;
	bool stopping;
	bool last_accepted;
};

/*
 * Returns entry number index of the list, counted round; it points into the
 * settings.  Empty when the list is.
 */
static struct str
entry_at(const struct announcer *a, unsigned index)
{
	struct str rest = str_from(a->settings.entries);
	struct str item = {0};
	unsigned count = 0;

	while (str_split(&rest, ',', &item))
		count++;
	rest = str_from(a->settings.entries);
	for (unsigned i = 0; count > 0 && i <= index % count; i++)
		str_split(&rest, ',', &item);
	return item;
}

/*
 * Returns the state to announce, as a constant string; the same state is the
 * same pointer.  Called with the lock held.
 */
static const char *
announced_state(const struct announcer *a)
{
	uint64_t age_us = clock_monotonic_us() - a->started_us;

	if (a->draining)
		return "draining";
	if (a->settings.cold && age_us < a->settings.cold_ms * US_PER_MS)
		return "cold";
	return "ready";
}

/*
 * Appends the announcement as JSON; the settings' texts must need no escaping.
 */
static void
write_body(const struct announcer *a, const char *state, uint64_t sequence,
    struct str_buf *body)
{
	const struct announcer_settings *s = &a->settings;

	str_buf_printf(body,
	    "{\"service\":\"%s\",\"address\":\"%s\",\"failure_domain\":\"%s\","
	    "\"slots\":%llu,\"connections\":%llu,\"state\":\"%s\","
	    "\"incarnation\":%llu,\"sequence\":%llu}",
	    s->service, s->address, s->failure_domain,
	    (unsigned long long)s->slots, (unsigned long long)s->connections,
	    state, (unsigned long long)s->incarnation,
	    (unsigned long long)sequence);
}

/* Takes an answer's body from curl and drops it. */
static size_t
discard(
    char *data ATTR_UNUSED, size_t size, size_t count, void *ctx ATTR_UNUSED)
{
	return size * count;
}

/*
 * Sends one request about the target to an entry; returns the HTTP status, 0
 * without an answer within CALL_TIMEOUT_MS.
 */
static long
send_request(const struct announcer *a, struct str entry, const char *method,
    struct str body)
{
	struct str_buf url = {0};
	CURL *easy = curl_easy_init();
	long status = 0;

	str_buf_printf(&url, "http://%.*s/gypsummill/v1/targets/%s",
	    STR_ARG(entry), a->settings.id);
	curl_easy_setopt(easy, CURLOPT_URL, url.data);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	if (body.len > 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body.len);
	}
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	str_buf_free(&url);
	return status;
}

/* Logs when the target becomes announced or stops being so. */
static void
log_status_change(struct announcer *a, long status, struct str entry)
{
	bool ok = status == HTTP_OK;

	if (ok == a->last_accepted)
		return;
	a->last_accepted = ok;
	if (ok)
		log_info("target_announced", "target=%s entry=%.*s",
		    a->settings.id, STR_ARG(entry));
	else
		log_warn("target_not_announced",
		    "target=%s entry=%.*s http_status=%ld", a->settings.id,
		    STR_ARG(entry), status);
}

/* Tries each entry once, from the one that answered last. */
static void
announce(struct announcer *a, const char *state, uint64_t sequence)
{
	struct str_buf body = {0};
	struct str first = entry_at(a, a->entry);

	write_body(a, state, sequence, &body);
	for (;;) {
		struct str entry = entry_at(a, a->entry);
		long status =
		    send_request(a, entry, "PUT", str_buf_view(&body));

		log_status_change(a, status, entry);
		if (status == HTTP_OK)
			break;
		a->entry++;
		if (entry_at(a, a->entry).data == first.data)
			break;
	}
	str_buf_free(&body);
}

/*
 * Waits until the next announcement is due or the announcer's state changes;
 * after RETRY_MS when the last one failed.  Called with the lock held.
 */
static void
wait_for_renewal(struct announcer *a)
{
	uint64_t wait_ms = a->last_accepted ? a->settings.renew_ms : RETRY_MS;
	uint64_t wake_us = clock_monotonic_us() + wait_ms * US_PER_MS;

	if (!condition_wait(&a->changed, &a->lock, wake_us))
		return; /* due; a change of state is looked at all the same */
}

/*
 * The announcer's thread.  The lock is released while it sends; a change of
 * state meanwhile is announced at once, with the next sequence number.
 */
static void *
announcer_thread(void *ctx)
{
	struct announcer *a = ctx;
	const char *last = NULL;

	pthread_mutex_lock(&a->lock);
	while (!a->stopping) {
		const char *state = announced_state(a);
		uint64_t sequence;

		if (last != NULL && state != last)
			a->sequence++;
		last = state;
		sequence = a->sequence;
		pthread_mutex_unlock(&a->lock);
		announce(a, state, sequence);
		pthread_mutex_lock(&a->lock);
		if (!a->stopping && announced_state(a) == last)
			wait_for_renewal(a);
	}
	pthread_mutex_unlock(&a->lock);
	return NULL;
}

/*
 * Starts announcing on a thread of its own; announcer_stop() ends it.  The
 * texts of the settings are not copied and must outlive the announcer.
 */
struct announcer *
announcer_new(const struct announcer_settings *settings)
{
	struct announcer *a = mem_calloc(1, sizeof(*a));

	a->settings = *settings;
	a->sequence = 1;
	a->started_us = clock_monotonic_us();
	pthread_mutex_init(&a->lock, NULL);
	condition_init(&a->changed);
	pthread_create(&a->thread, NULL, announcer_thread, a);
	return a;
}

/*
 * Announces the target as draining, or as ready again.
 */
void
announcer_set_draining(struct announcer *a, bool draining)
{
	pthread_mutex_lock(&a->lock);
	a->draining = draining;
	pthread_cond_signal(&a->changed);
	pthread_mutex_unlock(&a->lock);
}

/*
 * Ends the announcing, after the send under way; the announcer is released.
 * leave also removes the announcement at the entry used last.
 */
void
announcer_stop(struct announcer *a, bool withdraw)
{
	pthread_mutex_lock(&a->lock);
	a->stopping = true;
	pthread_cond_signal(&a->changed);
	pthread_mutex_unlock(&a->lock);
	pthread_join(a->thread, NULL);
	if (withdraw)
		send_request(
		    a, entry_at(a, a->entry), "DELETE", (struct str){0});
	mem_free(a);
}
