#!/bin/bash
# Runs every measurement that docs/CAPACITY.md is based on.
set -eu
bin=$(cd "${1:-build/bin}" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
for bench in bench_document bench_replica_cost bench_limit bench_pick; do
	[ -x "$bin/$bench" ] || continue
	echo "== $bench"
	"$bin/$bench"
done
for script in capacity.py capacity_entry.py; do
	[ -e "$here/$script" ] || continue
	echo "== $script"
	GYPSUMMILL_BIN=$bin /usr/bin/python3 "$here/$script"
done
