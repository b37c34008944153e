/*
 * Sends one call and checks that its answer is complete and belongs to it.
 */
#ifndef LOAD_LOAD_CALL_H
#define LOAD_LOAD_CALL_H

#include <curl/curl.h>

#include "load/load_plan.h"

enum {
	LOAD_REASONS_MAX = 64,
	LOAD_REASON_BYTES = 64
};

/* Names of the refusal reasons seen by all threads; index 0 is no reason. */
struct load_reasons;

struct load_reasons *load_reasons_new(void);
void load_reasons_free(struct load_reasons *reasons);
const char *load_reasons_name(
    const struct load_reasons *reasons, unsigned index) ATTR_NONNULL_ALL;

/*
 * Sends the call and sets outcome, status, reason and target time in record.
 * Returns false when no connection could be made.
 */
bool
load_call_send(CURL *easy, const char *address, const struct load_route *route,
    struct load_record *record, struct load_reasons *reasons) ATTR_NONNULL_ALL;

#endif
