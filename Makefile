# Each target installs the Debian packages that it needs.

SHELL := /bin/bash
.SHELLFLAGS := -o pipefail -c
BUILD ?= build
SAN_BUILD ?= build-san
JOBS ?= $(shell nproc)
PACKAGES := build-essential cmake pkg-config curl jq \
	libwebsockets-dev libmsgpack-dev libglib2.0-dev libjansson-dev libxxhash-dev libcmocka-dev libhttp-parser-dev
CHECK_PACKAGES := spin clang clang-format clang-tidy cppcheck
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h')

.PHONY: setup setup-check build san demo check unit lint spec system bench soak fuzz loads overload clean

setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && apt-get install -y -qq $(PACKAGES); } >/dev/null

setup-check: setup
	@dpkg -s $(CHECK_PACKAGES) >/dev/null 2>&1 || { apt-get update -qq && apt-get install -y -qq $(CHECK_PACKAGES); } >/dev/null

build: setup
	@cmake -S . -B $(BUILD) >/dev/null
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS) | { grep -v 'Built target\|Building\|Linking\|Consolidate\|Scanning' || true; }

# Builds with the address and undefined-behaviour sanitizers, for the unit tests.
san: setup
	@cmake -S . -B $(SAN_BUILD) -DSANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@$(MAKE) --no-print-directory -C $(SAN_BUILD) -j$(JOBS) | { grep -v 'Built target\|Building\|Linking\|Consolidate\|Scanning' || true; }

# make demo KEEP=1 leaves the site running; make demo SITE=sablat shows the other user's site.
demo: build
	@BUILD=$(BUILD) SITE=$(or $(SITE),brodnica) KEEP=$(KEEP) scripts/demo.sh

check: setup-check
	@tests/run-all.sh

unit: san
	@BUILD=$(SAN_BUILD) tests/run-unit.sh

system: build
	@BUILD=$(BUILD) tests/run-system.sh

lint: setup-check
	@clang-format --dry-run -Werror $(SOURCES)
	@cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,performance,portability \
		--inline-suppr --suppress=missingIncludeSystem '-Djson_object_foreach(o,k,v)=for (k = 0, v = 0; o;)' '-Djson_array_foreach(a,i,v)=for (i = 0, v = 0; a;)' -Isrc -Istandins $(filter %.c,$(SOURCES))
	@echo "lint: clean"

spec: setup-check
	@spec/run.sh

bench: build
	@BUILD=$(BUILD) scripts/bench.sh

# Checks ramps of up to ten times the capacity, with up to 2,000 VMs. Too slow for the build with sanitizers.
overload: build
	@tests/known-red.sh overload_test $(BUILD)/overload_test

# Compares the results for callers under load and faults with an earlier revision: make loads REV=HEAD~1 SEEDS=8
loads: setup-check
	@dpkg -s gnuplot-nox >/dev/null 2>&1 || apt-get install -y -qq gnuplot-nox >/dev/null
	@scripts/loads.sh $(or $(REV),HEAD) $(or $(SEEDS),8)

# Runs random schedules of src/core, and real processes under faults with new seeds each time: without and with overload, and
# under planned stops.
soak: san
	@$(SAN_BUILD)/random_test $(or $(SEEDS),20000)
	@$(SAN_BUILD)/front_random_test $(or $(SEEDS),20000) $$(date +%s)
	@from=$$((1000 + $$(date +%s) % 980)); BUILD=$(SAN_BUILD) tests/soak/run.sh $$from $$((from + 19)) 8
	@from=$$(date +%s); BUILD=$(SAN_BUILD) tests/soak/run.sh $$from $$((from + 19)) 8
	@from=$$(date +%s); SOAK=stop_soak.sh BUILD=$(SAN_BUILD) tests/soak/run.sh $$from $$((from + 19)) 12

fuzz: setup-check
	@scripts/fuzz.sh $(or $(SECONDS_EACH),30)

clean:
	rm -rf $(BUILD) $(SAN_BUILD)
