SHELL := /bin/bash
SEED ?= 1
export GOFLAGS := $(shell go env GOFLAGS) -buildvcs=false

.PHONY: all build demo test lint bench soak recovery-soak stop-soak stop-days

all: build

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	bin/godwitbend-demo --bin bin

# Control hosts of tests write their logs to temporary directories. A disk that all packages share takes seconds a write at
# times, against the milliseconds that deployments state. Tests need up to 2 GB, and run programs from there.
TEST_TMPDIR ?= $(shell test -w /dev/shm && ! grep -q '/dev/shm.*noexec' /proc/mounts && \
	df -Pk /dev/shm | awk 'NR == 2 { exit $$4 < 4000000 }' && echo /dev/shm || echo "$${TMPDIR:-/tmp}")

# The tests of this package measure the memory of processes, and run apart from the others.
CROWDS := ./platform/crowds

# SKIP holds names of tests to pass over, separated by |.
test:
	@export GOTMPDIR=$${TMPDIR:-/tmp} TMPDIR=$(TEST_TMPDIR); status=0; \
	go test -count=1 -timeout 8m $(if $(SKIP),-skip '^($(SKIP))$$') $$(go list ./... | grep -v '/platform/crowds$$') || status=1; \
	go test -count=1 -timeout 8m $(if $(SKIP),-skip '^($(SKIP))$$') $(CROWDS) || status=1; \
	exit $$status

lint:
	@out="$$(gofmt -l cmd internal platform tests)"; if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Drives the real programs with the traces of both deployments; prints JSON lines.
bench: build
	bin/godwitbend-load --bin bin --seed $(SEED) --requests 300 bench

# Runs random schedules of failures from SEED on, for longer than the tests do.
soak:
	SEED=$(SEED) SCHEDULES=$(or $(SCHEDULES),2000) go test -count=1 -timeout 60m -run Soak -v ./internal/replication
	SEED=$(SEED) go test -count=1 -timeout 60m -run Soak -v ./tests/fleet

# Replaces control hosts of gateway fleets, fills and loses disks, with N schedules of each kind from SEED on, PARALLEL at a time.
# DAEMON is another program to test than that of the source tree.
recovery-soak:
	SEED=$(SEED) N=$(or $(N),50) DAEMON=$(DAEMON) \
		go test -count=1 -timeout 60m -parallel $(or $(PARALLEL),3) -run '^Test(Recovery|FullDisk)Soak$$' -v ./tests/recovery

# Stops gateways under load, N times from SEED on, PARALLEL at a time, and counts lost requests. SCENARIO is one of those
# in platform/stops/scenario_test.go instead of all in turn but "hundred" (100 processes; those named neighbourhoods have 33 each),
# DAEMON another program to test than that of the source tree.
stop-soak:
	SEED=$(SEED) N=$(or $(N),50) SCENARIO=$(SCENARIO) DAEMON=$(DAEMON) \
		go test -count=1 -timeout 60m -parallel $(or $(PARALLEL),3) -run '^TestStopSoak$$' -v ./platform/stops

# Plays the days of platform/stops/days_test.go, or DAY of them, with SHARE of the gateways, engines and load of a site of 79 and 140, and lists
# the begun streams without a whole answer. KV is a share of the engines' memory, GATEWAYS another number of gateways.
stop-days:
	SEED=$(SEED) SHARE=$(or $(SHARE),0.2) DAY=$(DAY) KV=$(KV) GATEWAYS=$(GATEWAYS) DAEMON=$(DAEMON) \
		go test -count=1 -timeout 60m -run '^TestDays$$' -v ./platform/stops
