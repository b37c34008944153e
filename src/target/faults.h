/*
 * Faults that a mock target injects; they can be changed at run time.
 */
#ifndef TARGET_FAULTS_H
#define TARGET_FAULTS_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"

struct faults {
	_Atomic uint64_t
	    service_time_percent; /* of the service time; 100: no fault */
	_Atomic uint64_t error_percent; /* calls answered with 500 at once */
	_Atomic uint64_t truncate_percent; /* answers cut half-way */
	_Atomic uint64_t
	    response_delay_ms; /* wait before the answer's first byte */
	_Atomic uint64_t
	    false_in_flight; /* count to report plus 1; 0: no fault */
	_Atomic uint64_t report_age_ms; /* age of the reported count */
	_Atomic uint64_t queue_max; /* calls queued before shedding */
	_Atomic uint64_t
	    draining; /* non-zero: announced and sent with answers */
	_Atomic uint64_t leaving; /* non-zero: sent with answers alone */
	_Atomic uint64_t refuse_percent; /* calls turned away with 503 */
	_Atomic uint64_t retry_after_ms; /* named with each 503; 0: none */
};

void faults_init(struct faults *faults, uint64_t queue_max) ATTR_NONNULL_ALL;
/* Parses name=value&name=value; STATUS_INVALID with the invalid field. */
enum status
faults_set(struct faults *faults, struct str query) ATTR_NONNULL_ALL;
void
faults_write_json(struct faults *faults, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
