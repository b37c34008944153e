/*
 * Message bodies generated from a nonce, so that a receiver that knows the
 * nonce can verify that a body is complete and belongs to the call.
 */
#ifndef BASE_PATTERN_H
#define BASE_PATTERN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

void pattern_fill(
    uint64_t nonce, uint64_t offset, char *out, size_t len) ATTR_NONNULL_ALL;
bool pattern_matches(uint64_t nonce, uint64_t offset, const char *data,
    size_t len) ATTR_NONNULL_ALL;

#endif
