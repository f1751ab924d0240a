# One command for each thing that a developer or an operator does here.
BUILD ?= build
CMAKE_FLAGS ?=

.PHONY: demo test build packages format lint schema bench bench-deployments \
	test-address test-thread

# What a fresh machine lacks is installed first, by Debian's packages alone.
packages:
	tools/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS)
	cmake --build $(BUILD)

demo: build
	tools/demo $(BUILD)

test: build
	tools/run-tests $(BUILD)

# The same tests under the address and undefined-behaviour sanitizers.
test-address:
	$(MAKE) test BUILD=build-address \
	  CMAKE_FLAGS="-DWAXWINGVALVE_SANITIZE=address,undefined"

# The rings and duties under the thread sanitizer.
test-thread:
	$(MAKE) build BUILD=build-thread \
	  CMAKE_FLAGS="-DWAXWINGVALVE_SANITIZE=thread"
	tools/run-tests build-thread -L threads

bench: build
	tools/bench $(BUILD)

# Both deployments under load: latency, headroom, drain time, overload.
bench-deployments: build
	$(BUILD)/tests/bench/deployments_bench

format:
	tools/format

lint: build
	tools/lint $(BUILD)

# Needs flatc; the generated headers are committed.
schema:
	tools/generate-schema
