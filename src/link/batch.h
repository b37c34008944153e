/*
 * Integrity check of a batch of changes before an entry installs it.
 */
#ifndef LINK_BATCH_H
#define LINK_BATCH_H

#include <stdbool.h>

#include "base/attr.h"
#include "wire/wire.pb-c.h"

/*
 * Returns whether every section's text matches its digest and the indexes
 * ascend without exceeding the batch's to_index.
 */
bool
batch_is_intact(const Wire__Changes *batch) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
