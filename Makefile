GO ?= go
LINT := .bin/golangci-lint
LINT_VERSION := v2.15.0

.PHONY: all build test lint bench soak demo capacity clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

$(LINT):
	GOBIN=$(CURDIR)/.bin $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

test:
	$(GO) test -race -timeout 8m ./...

demo: build
	bin/demo --binary bin/geraniumpass
