/*
 * Outcomes of the sections in one run of apply or delete.
 */
#ifndef CTL_CTL_RESULTS_H
#define CTL_CTL_RESULTS_H

#include <json-c/json.h>

#include "ctl/ctl.h"
#include "ctl/ctl_client.h"

struct ctl_results {
	struct json_object *list; /* one object per section */
	uint64_t last_revision; /* highest of the accepted edits; 0: none */
	uint64_t accepted_us; /* monotonic time of the last reply */
};

void ctl_results_add(struct ctl_results *results, struct str name,
    const char *outcome, uint64_t revision, bool resend, const char *message)
    ATTR_NONNULL(1, 3);
/* Records an accepted edit and the time of its reply. */
void ctl_results_add_accepted(struct ctl_results *results, struct str name,
    bool removed, const struct ctl_reply *reply) ATTR_NONNULL_ALL;
void ctl_results_print(
    const struct ctl_results *results, struct ctl *ctl) ATTR_NONNULL_ALL;
/*
 * Waits until the last accepted edit is in force.  STATUS_UNAVAILABLE if
 * --timeout expires first.
 */
enum status ctl_results_wait_in_force(const struct ctl_results *results,
    struct ctl *ctl, uint64_t *elapsed_us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
