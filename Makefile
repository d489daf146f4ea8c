# Commands for developers and for continuous integration.

GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
BIN := $(CURDIR)/.bin
MODULES := ./steer/... ./front/... ./platform/... ./tools/...

.PHONY: names all build test race fmt format-check lint gopls generate generate-check bench bench-check demo

all: format-check generate-check lint test race

build:
	go build -o bin/ ./front/cmd/...

test:
	scripts/test.sh

# The packages whose goroutines share memory. Others are pure, or start
# commands, which the detector doesn't see into.
RACE := ./front/gateway ./front/rollouts ./front/reachability ./front/relayclient ./front/pipeline ./front/linger ./front/duplex \
	./front/duties ./front/registry ./front/endpoint/... ./front/peer ./front/broker ./front/caller/... ./front/dispatch ./front/telemetry ./front/waiting ./front/storage ./front/storage/attempts \
	./front/storage/configuration ./front/storage/membership ./front/storage/shares ./front/storage/shifts ./platform/...

# The detector itself crashes on arm64 in these, in a timer of a synctest bubble.
RACE_CRASHES_ON_ARM64 := ./front/storage/membership

race:
ifeq ($(shell uname -m),aarch64)
	scripts/race.sh $(filter-out $(RACE_CRASHES_ON_ARM64),$(RACE))
	scripts/test.sh -short $(RACE_CRASHES_ON_ARM64)
else
	scripts/race.sh $(RACE)
endif

fmt:
	go tool gofumpt -w steer front platform tools

format-check:
	@out="$$(go tool gofumpt -l steer front platform tools)"; test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	mkdir -p $(BIN)
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	go vet $(MODULES)
	$< run $(MODULES)

# Renames identifiers over all modules: .bin/gopls rename -w FILE:LINE:COLUMN NAME
$(BIN)/gopls-$(GOPLS_VERSION):
	mkdir -p $(BIN)
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

gopls: $(BIN)/gopls-$(GOPLS_VERSION)
	ln -sf gopls-$(GOPLS_VERSION) $(BIN)/gopls

generate:
	go tool wire gen ./front/...

generate-check:
	go tool wire diff ./front/...

# The adapter alone knows the names of the wire.
names:
	scripts/names.sh

# All figures at the usual length of a benchmark.
bench:
	go run ./tools/bench

# What is the same on every run, with a fixed number of iterations. It is large
# enough for the goroutines that a parallel benchmark starts not to count.
bench-check:
	go run ./tools/bench -ci -benchtime 2000x

demo: build
	scripts/demo.sh
	scripts/demo-platform.sh
