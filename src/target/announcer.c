#include "target/announcer.h"

#include <pthread.h>
#include <time.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/http_transfer.h"
#include "base/logger.h"
#include "base/memory.h"
#include "base/str.h"

enum {
	CALL_TIMEOUT_MS = 3000,
	RETRY_MS = 200, /* between attempts while no entry accepts */
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
 * Returns the entry at index, modulo the number of entries, as a view into the
 * settings; empty when the list is empty.
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
 * Returns the state to announce as a constant string; equal states have equal
 * pointers.  Called with the lock held.
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
 * Appends the announcement as JSON.  The strings of the settings are not
 * escaped.
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

/* Write callback of curl: discards the response body. */
static size_t
discard(
    char *data ATTR_UNUSED, size_t size, size_t count, void *ctx ATTR_UNUSED)
{
	return size * count;
}

/*
 * Sends one request about the target to an entry.  Returns the HTTP status, or
 * 0 when there is no response within CALL_TIMEOUT_MS.
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
	if (http_transfer_perform(easy, NULL, NULL) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	str_buf_free(&url);
	return status;
}

/*
 * Logs when announcements start or stop being accepted.
 */
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

/*
 * Sends the announcement to each entry in turn until one accepts it, starting
 * with the one that accepted the last.
 */
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
 * Waits until the next announcement is due (RETRY_MS after a failure) or the
 * state changes.  Called with the lock held.
 */
static void
wait_for_renewal(struct announcer *a)
{
	uint64_t wait_ms = a->last_accepted ? a->settings.renew_ms : RETRY_MS;
	uint64_t wake_us = clock_monotonic_us() + wait_ms * US_PER_MS;

	if (!condition_wait(&a->changed, &a->lock, wake_us))
		return; /* due; the caller checks the state in either case */
}

/*
 * Main function of the announcer's thread.  The lock is released while sending;
 * a change of state meanwhile is announced immediately afterwards, with the
 * next sequence number.
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
 * Starts a thread that announces the target until announcer_stop().  The
 * strings of the settings are not copied and must outlive the announcer.
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
 * Sets or clears the draining state; the change is announced immediately.
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
 * Stops announcing once the current request has ended, and frees the announcer.
 * withdraw also deletes the announcement at the entry used last.
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
