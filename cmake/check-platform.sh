#!/bin/bash
# Fails when a name of the provider's interface stands outside platform/, and
# prints how long platform/ is.
set -u
cd "$(dirname "$0")/.." || exit 2
names='X-(Attempt-Id|Request-Deadline|Response-Signature|Expect-Instance)'
names+='|X-(Not-Executed|Backend-Load|Instance-Id)|heartbeat_url'
names+='|traffic_split|target_latency_ms|path_prefix|max_conns|warmup_left_ms'
names+='|GYPSUMMILL_NODE_FILE|internal_port_range|fault_tolerance|retry_slack'
if grep -rnIiE "$names" src; then
	echo "the provider's names outside platform/"
	exit 1
fi
echo "platform/: $(cat platform/*.[ch] | wc -l) lines"
