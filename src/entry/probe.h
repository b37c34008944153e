/*
 * Load probes of targets that haven't reported their load recently, sent from
 * a dedicated thread within the measuring budget.
 */
#ifndef ENTRY_PROBE_H
#define ENTRY_PROBE_H

#include "entry/entry.h"

struct probe;

struct probe *probe_start(struct entry *entry) ATTR_NONNULL_ALL;
void probe_stop(struct probe *probe);

#endif
