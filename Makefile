# A thin front to CMake.  `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
SEEDS ?= 1-5
PACKAGES = $(shell cat cmake/packages.txt)
SOURCES = $(shell git ls-files -co --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' 'test/*.[ch]' | grep -v 'pb-c')
TIDY_SOURCES = $(filter src/%.c platform/%.c,$(SOURCES))

# Deployments that must hold, the newest first; the two oldest have given way.
REGRESSION_SITES = large/caroni-hq-large further-grown/troliau-cymru-grown \
	further/troliau-cymru grown/caroni-hq-grown grown/vejradis-vartes-grown
FLEETBENCH ?= fleetbench
WHY ?= regression

.PHONY: allowances parts hedges cold regression replay notices soak platform-names document-page all help packages build demo check test bench capacity format \
	format-check tidy cppcheck layers lines install clean asan generate

all: build

help:			## list the targets
	@sed -n 's/^\([a-z-]*\):.*## \(.*\)/\1\t\2/p' Makefile

packages:		## install the Debian packages the build needs
	apt-get update && apt-get install -y --no-install-recommends $(PACKAGES)

build:			## configure and build everything
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

demo: build		## run the whole system on loopback and print a table
	@/usr/bin/python3 test/functional/demo.py --bin $(BUILD)/bin

test: build		## unit, fuzz and functional tests
	@ctest --test-dir $(BUILD) -j $(JOBS) --output-on-failure

check: format-check layers platform-names test	## what a commit must pass

asan:			## the tests under AddressSanitizer and UBSan
	@cmake -S . -B build-asan -DCMAKE_C_COMPILER=clang \
	    -DGYPSUMMILL_ASAN=ON >/dev/null
	@cmake --build build-asan -j $(JOBS) -- --no-print-directory
	@ctest --test-dir build-asan -j $(JOBS) --output-on-failure

soak: build		## random faults and planned stops on real processes; SEEDS=1-50
	@GYPSUMMILL_BIN=$(abspath $(BUILD))/bin /usr/bin/python3 \
	    test/soak/soak.py --seeds $(SEEDS)
	@GYPSUMMILL_BIN=$(abspath $(BUILD))/bin /usr/bin/python3 \
	    test/soak/stops.py --seeds $(SEEDS)

regression:		## score deployments: FLEETBENCH=program KIT=folder of site files
	@for site in $(REGRESSION_SITES); do \
	    $(FLEETBENCH) score $(KIT)/$$site.toml --why "$(WHY)" || exit 1; \
	done

bench: build		## the policies side by side, in virtual time
	@$(BUILD)/bin/bench_balance

replay: build		## targets that slow down as they fill: the policies side by side
	@$(BUILD)/bin/bench_placement
	@$(BUILD)/bin/bench_placement_domains

notices: build		## targets that leave or ask for a pause: with and without
	@$(BUILD)/bin/bench_notice --check true

allowances: build	## what is usable of an account's allowance, and windows above the bound
	@$(BUILD)/bin/bench_allowance --seeds 5

parts: build		## a service in parts of uneven load: rotation and the choice by load
	@$(BUILD)/bin/bench_parts 3

hedges: build		## second sends against slow answers: the rule and others, at the same share
	@$(BUILD)/bin/bench_hedge

cold: build		## requests that reach cold targets, under faults
	@$(BUILD)/bin/bench_cold --check true

capacity: build		## the slopes behind docs/CAPACITY.md
	@test/benchmark/capacity.sh $(BUILD)/bin

format:			## format the sources in place
	clang-format -i $(SOURCES)

format-check:		## fail when a source is not formatted
	@clang-format --dry-run -Werror $(SOURCES)

tidy: build		## clang-tidy over the sources
	@printf '%s\n' $(TIDY_SOURCES) | \
	    xargs -P $(JOBS) -n 4 clang-tidy --quiet -p $(BUILD) 2>/dev/null

cppcheck:		## cppcheck over the sources
	@cppcheck --quiet --enable=warning,portability,performance \
	    --std=c11 --inline-suppr --error-exitcode=1 -j $(JOBS) -Isrc \
	    --suppress=missingIncludeSystem --suppress=*:*pb-c* \
	    -I. --suppress=normalCheckLevelMaxBranches src platform

platform-names:		## the provider's names stand in platform/ alone
	@cmake/check-platform.sh

layers:			## includes point one way: programs, rules, base
	@cmake/check-layers.sh

lines:			## count code and tests
	@cmake/count-lines.sh

generate:		## regenerate the committed codecs
	protoc-c --proto_path=src/wire --c_out=src/wire \
	    src/wire/wire.proto src/wire/state.proto src/wire/fleet.proto
	protoc-c --proto_path=src/replica --c_out=src/replica \
	    src/replica/replica.proto
	protoc-c --proto_path=src/claim --c_out=src/claim src/claim/claim.proto
	clang-format -i src/*/*.pb-c.c

document-page: build	## print every field into docs/DOCUMENT.md
	@sed '/^## Fields/q' docs/DOCUMENT.md >$(BUILD)/page && echo >>$(BUILD)/page
	@$(BUILD)/bin/gypsummillctl fields >>$(BUILD)/page
	@mv $(BUILD)/page docs/DOCUMENT.md

install: build		## install below DESTDIR
	@DESTDIR=$(DESTDIR) cmake --install $(BUILD) --prefix /usr/local

clean:			## remove the build folders
	rm -rf $(BUILD) build-asan build-clang
