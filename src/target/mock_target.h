/*
 * How a stand-in target serves a call.
 */
#ifndef TARGET_WORK_H
#define TARGET_WORK_H

#include <civetweb.h>

#include "base/random.h"
#include "target/execution.h"
#include "target/faults.h"
#include "target/slots.h"

struct mock_target {
	const char *id;
	struct slots *slots;
	struct execution_table *executions;
	struct faults faults;
	uint64_t service_us; /* mean service time */
	uint64_t answer_bytes; /* when the call asks for no size */
	uint64_t started_us;
	uint64_t cold_us; /* cold for so long after the start */
	uint64_t seed;
	/* Told when the draining fault is set or cleared. */
	void (*draining_changed)(void *ctx, bool draining);
	void *ctx;
	_Atomic uint64_t calls;
	_Atomic uint64_t shed;
	_Atomic uint64_t expired;
	_Atomic uint64_t cancelled; /* the answer could not be written */
	_Atomic uint64_t last_call_us; /* wall time */
	_Atomic uint64_t reported; /* figure and time of the last report */
	_Atomic uint64_t reported_us;
};

int mock_target_serve(void *ctx, struct mg_connection *conn) ATTR_NONNULL_ALL;

#endif
