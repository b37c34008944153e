#include "base/http_transfer.h"

#include <stdbool.h>

#include "base/str.h"

enum {
	HTTP_FINAL_MIN = 200 /* smaller ones are interim responses */
};

struct http_transfer {
	CURL *easy;
	curl_write_callback header;
	void *ctx;
	bool head_complete;
};

/* Follows the response's head and passes each line on. */
static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct http_transfer *t = ctx;
	struct str line = str_of(data, size * count);
	long status = 0;

	if (str_has_prefix(line, STR_LITERAL("HTTP/")))
		t->head_complete = false;
	if (str_trim(line).len == 0) {
		curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
		t->head_complete = status >= HTTP_FINAL_MIN;
	}
	return t->header != NULL ? t->header(data, size, count, t->ctx)
				 : line.len;
}

/*
 * Performs a transfer; see http_transfer.h.  libcurl 7.88 reports success, with
 * an empty body, when the connection ends behind the status line and before the
 * end of the head, unless it has read a length.
 */
CURLcode
http_transfer_perform(CURL *easy, curl_write_callback header, void *ctx)
{
	struct http_transfer t = {.easy = easy, .header = header, .ctx = ctx};
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &t);
	code = curl_easy_perform(easy);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, NULL);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, NULL);
	if (code == CURLE_OK && !t.head_complete)
		return CURLE_PARTIAL_FILE;
	return code;
}
