/*
 * HTTP transfers with libcurl that succeed only with a complete response head.
 */
#ifndef BASE_HTTP_TRANSFER_H
#define BASE_HTTP_TRANSFER_H

#include <curl/curl.h>

#include "base/attr.h"

/*
 * Performs a transfer like curl_easy_perform(), with its header callback, which
 * may be NULL, and the callback's context.  Returns CURLE_PARTIAL_FILE if the
 * connection ended within the response's head.
 */
CURLcode http_transfer_perform(CURL *easy, curl_write_callback header,
    void *ctx) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;

#endif
