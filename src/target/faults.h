/*
 * What a stand-in target does wrong, changeable while it runs.
 */
#ifndef TARGET_FAULTS_H
#define TARGET_FAULTS_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"

struct faults {
	_Atomic uint64_t
	    service_time_percent; /* of the service time; 100: as usual */
	_Atomic uint64_t error_percent; /* calls failed at once with 500 */
	_Atomic uint64_t truncate_percent; /* answers broken off half-way */
	_Atomic uint64_t
	    response_delay_ms; /* wait before the answer's first byte */
	_Atomic uint64_t false_in_flight; /* reported figure plus 1; 0: truth */
	_Atomic uint64_t report_age_ms; /* age of what is reported */
	_Atomic uint64_t queue_max; /* calls queued before shedding */
	_Atomic uint64_t draining; /* not 0: announced and on each answer */
};

void faults_init(struct faults *faults, uint64_t queue_max) ATTR_NONNULL_ALL;
/* Takes name=value&name=value; STATUS_INVALID names what was wrong. */
enum status
faults_set(struct faults *faults, struct str query) ATTR_NONNULL_ALL;
void
faults_write_json(struct faults *faults, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
