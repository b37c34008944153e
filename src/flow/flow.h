/*
 * Event-driven entry: accepts callers' requests on one event loop, asks the
 * scheduler of the service for a target, forwards the request, verifies the
 * response and returns it.  Header names and body formats are defined by the
 * dialect.
 */
#ifndef FLOW_FLOW_H
#define FLOW_FLOW_H

#include <uv.h>

#include "base/status.h"
#include "base/str.h"
#include "placement/placement.h"
#include "routing/routes.h"

/* Header names and formats of the HTTP traffic with callers and targets. */
struct flow_dialect {
	const char *attempt_header; /* id of a caller's attempt */
	const char *deadline_header; /* remaining time in milliseconds */
	const char *expect_header; /* the target that must answer */
	const char *identity_header; /* the target that answered */
	const char *proof_header; /* present in responses made by a target */
	const char *not_run_header; /* the target did not run the request */
	const char *load_header;
	/* "1" in the answers of a target that leaves */
	const char *leaving_header;
	/* requests per second that a target takes from all entries together */
	const char *rate_header;
	/* The key of a client account, and its authentication scheme. */
	const char *key_header;
	const char *key_scheme;
	/* The name of the account, for targets. */
	const char *account_header;
	/* a spelling that targets may read as account_header */
	const char *account_header_alias;

	/*
	 * In the answers to probes: milliseconds until the end of the warm-up;
	 * NULL: none.
	 */
	const char *warmup_header;
	bool (*read_load)(struct str value, struct target_load *load);
	enum status (*read_document)(struct str text, struct routes **routes);
};

struct flow_settings {
	const char *instance;
	const char *failure_domain;
	const char *caller_address; /* IP:PORT for callers */
	const char *datagram_address; /* IP:PORT for other entries */
	const char *const *seeds; /* link addresses of control instances */
	unsigned seed_count;
	unsigned processor_millis;
	unsigned link_kbps; /* of the instance's own link */
	uint64_t memory_bytes;
	unsigned descriptors;
	unsigned connections_per_address; /* 0: the default rule */
	uint64_t grace_ms; /* from the stop request to the end */
	struct repeat_limits repeats;
	double probes_per_second; /* of one target, at most */
	/* how long a target is kept without a sign of life */
	uint64_t target_kept_ms;
	/* window of the bound on allowances; 0: the default */
	uint64_t quota_window_ms;
	/* second sends against slow answers, as a part of the requests */
	double hedge_share;
};

struct flow;

enum status flow_open(uv_loop_t *loop, const struct flow_settings *settings,
    const struct flow_dialect *dialect,
    struct flow **out) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Applies changed seeds, repeat limits, probe rates and times; names and
 * addresses stay unchanged.
 */
void flow_reload(
    struct flow *flow, const struct flow_settings *settings) ATTR_NONNULL_ALL;
/*
 * Stops gracefully; stopped is called when all accepted requests are answered.
 */
void flow_stop(struct flow *flow, void (*stopped)(void *ctx), void *ctx)
    ATTR_NONNULL(1, 2);
/* Appends the counters and the latency histogram in Prometheus text format. */
void flow_render_metrics(
    const struct flow *flow, struct str_buf *out) ATTR_NONNULL_ALL;
bool flow_is_ready(const struct flow *flow) ATTR_NONNULL_ALL;
/* Closes all handles; the loop must run until it is idle before flow_free(). */
void flow_close(struct flow *flow) ATTR_NONNULL_ALL;
void flow_free(struct flow *flow);

#endif
