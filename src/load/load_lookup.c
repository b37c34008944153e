#include "load/load_lookup.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/http_transfer.h"
#include "base/str.h"

enum {
	LOOKUP_TIMEOUT_MS = 2000,
	ANSWER_MAX_BYTES = 64 * 1024,
	/* Jitter, so that callers that start together don't stay in step. */
	TTL_MIN_PERCENT = 50,
	TTL_JITTER_PERCENT = 50
};

/*
 * Write callback of curl: appends to the answer; aborts the transfer when it is
 * over ANSWER_MAX_BYTES.
 */
static size_t
on_data(char *data, size_t size, size_t count, void *ctx)
{
	struct str_buf *out = ctx;

	if (out->len + size * count > ANSWER_MAX_BYTES)
		return 0;
	str_buf_append(out, str_of(data, size * count));
	return size * count;
}

/*
 * Parses the addresses and the TTL of an answer.  The TTL is multiplied by 0.50
 * to 0.99, varying from one answer to the next.  Returns false when the answer
 * is malformed or contains no entry.
 */
static bool
parse_answer(struct load_lookup *lookup, const char *text)
{
	struct json_object *root = json_tokener_parse(text);
	struct json_object *entries;
	struct json_object *ttl;
	unsigned count = 0;

	if (!json_object_object_get_ex(root, "entries", &entries) ||
	    !json_object_is_type(entries, json_type_array) ||
	    !json_object_object_get_ex(root, "keep_ms", &ttl)) {
		json_object_put(root);
		return false;
	}
	for (size_t i = 0;
	     i < json_object_array_length(entries) && count < LOAD_ENTRIES_MAX;
	     i++) {
		struct json_object *address;

		if (!json_object_object_get_ex(
			json_object_array_get_idx(entries, i), "address",
			&address))
			continue;
		snprintf(lookup->addresses[count++], LOAD_ADDRESS_BYTES, "%s",
		    json_object_get_string(address));
	}
	lookup->count = count;
	lookup->current = 0;
	lookup->expires_us = clock_monotonic_us() +
	    (uint64_t)json_object_get_int64(ttl) * US_PER_MS *
		(TTL_MIN_PERCENT + lookup->jitter_seed++ % TTL_JITTER_PERCENT) /
		100;
	json_object_put(root);
	return count > 0;
}

/*
 * Looks up the entries of a service at one entry, with a time-out of
 * LOOKUP_TIMEOUT_MS.  Returns true on a valid answer.
 */
static bool
query_entry(struct load_lookup *lookup, CURL *easy, struct str entry,
    const char *service)
{
	struct str_buf answer = {0};
	char url[512];
	long status = 0;
	bool ok;

	snprintf(url, sizeof(url),
	    "http://%.*s/gypsummill/v1/entries?service=%s", STR_ARG(entry),
	    service);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)LOOKUP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
	ok = http_transfer_perform(easy, NULL, NULL) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	ok = ok && status == 200 && answer.len > 0 &&
	    parse_answer(lookup, answer.data);
	str_buf_free(&answer);
	return ok;
}

/*
 * Splits IP:PORT,... into items that point into the list; returns their number.
 * Items past LOAD_ENTRIES_MAX are ignored.
 */
unsigned
load_lookup_split(const char *list, struct str items[LOAD_ENTRIES_MAX])
{
	struct str rest = str_from(list);
	unsigned count = 0;

	while (count < LOAD_ENTRIES_MAX && str_split(&rest, ',', &items[count]))
		count++;
	return count;
}

/*
 * Refreshes the cached answer if it has expired: queries the known entries in
 * turn, starting at one chosen by jitter_seed.  Returns STATUS_UNAVAILABLE when
 * none gives a valid answer.
 */
enum status
load_lookup_refresh(struct load_lookup *lookup, CURL *easy,
    const char *known_entries, const char *service, unsigned jitter_seed)
{
	struct str items[LOAD_ENTRIES_MAX];
	unsigned count;

	if (lookup->count > 0 && clock_monotonic_us() < lookup->expires_us)
		return STATUS_OK;
	lookup->jitter_seed += jitter_seed;
	count = load_lookup_split(known_entries, items);
	for (unsigned i = 0; i < count; i++) {
		if (query_entry(lookup, easy, items[(jitter_seed + i) % count],
			service))
			return STATUS_OK;
	}
	return status_set(
	    STATUS_UNAVAILABLE, "no entry answered the lookup of %s", service);
}
