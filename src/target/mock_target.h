/*
 * Request handling of the mock target, a stand-in for a real target in tests
 * and the demo.
 */
#ifndef TARGET_MOCK_TARGET_H
#define TARGET_MOCK_TARGET_H

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
	uint64_t service_us; /* mean of the service time */
	uint64_t answer_bytes; /* when the call gives no size */
	uint64_t started_us;
	uint64_t cold_us; /* duration of the cold start */
	uint64_t seed;
	const char *leaving_header; /* with value 1, in answers */
	/* Called when the draining fault is set or cleared. */
	void (*draining_changed)(void *ctx, bool draining);
	void *ctx;
	_Atomic uint64_t calls;
	_Atomic uint64_t shed;
	_Atomic uint64_t refused; /* by refuse_percent */
	_Atomic uint64_t expired;
	_Atomic uint64_t
	    cancelled; /* calls whose answer could not be written */
	_Atomic uint64_t last_call_us; /* wall time */
	_Atomic uint64_t
	    reported; /* in-flight count last sampled for reports */
	_Atomic uint64_t reported_us; /* when it was sampled */
};

int mock_target_serve(void *ctx, struct mg_connection *conn) ATTR_NONNULL_ALL;

#endif
