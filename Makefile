# Every target works from a clean checkout; modules are fetched on first use.
GOLANGCI = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED ?= 1

.PHONY: build demo test test-seed lint format

build:
	go build -o bin/ ./cmd/...

demo: build
	scripts/demo.sh

test:
	go test -race ./...

test-seed:
	SNIPERAIL_TEST_SEED=$(SEED) go test -race ./...

lint:
	$(GOLANGCI) run ./...

format:
	$(GOLANGCI) fmt ./...
