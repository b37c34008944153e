#!/bin/bash
# Fails when an include points from a lower layer to a higher one:
# platform -> programs -> link, net -> rules and aggregates -> wire, base.
set -u
cd "$(dirname "$0")/.." || exit 2
programs='entry|control|ctl|load|target|core|flow'
rules='document|registry|replica|claim|balance|limit|retry|refusal|burn|routing|roster|placement'
bad=0
check() {	# folders that may not include the second set
	local hits
	hits=$(grep -nE "#include \"($2)/" $(ls src/$1/*.[ch] 2>/dev/null) /dev/null)
	if [ -n "$hits" ]; then
		echo "layer violation: src/$1 includes a higher layer"
		echo "$hits"
		bad=1
	fi
}
check base "$programs|$rules|link|net|wire|platform"
check wire "$programs|$rules|link|net|platform"
for folder in ${rules//|/ }; do
	check "$folder" "$programs|link|net|platform"
done
check link "$programs|platform"
check net "$programs|$rules|link|platform"
for folder in ${programs//|/ }; do
	others=$(echo "$programs" | tr '|' '\n' | grep -v "^$folder$" | paste -sd'|')
	check "$folder" "$others|platform"
done
exit $bad
