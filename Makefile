# Targets for users: demo, up, down, test, build. For developers: lint, fmt,
# generate, tools, fuzz.
SHELL := /bin/bash
SITE ?= association
MODULES := . cmd/mulberrybench cmd/mulberrycontrol cmd/mulberryctl cmd/mulberrynode platform
PROGRAMS := mulberrybench mulberrycontrol mulberryctl mulberrynode
TOOLS := bin/tools
# Names of the tests that are expected to fail, each from a line "test: NAME".
KNOWN_RED := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\) *$$/\1/p' KNOWN-RED.txt 2>/dev/null)
empty :=
space := $(empty) $(empty)
SKIP := $(if $(KNOWN_RED),-skip '^($(subst $(space),|,$(strip $(KNOWN_RED))))$$',)
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unknown)
export GOWORK := $(CURDIR)/go.work

.PHONY: build demo up down test unit lint fmt fmtcheck generate tools modules

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -ldflags "-X main.version=$(VERSION)" -o bin/$$p ./cmd/$$p || exit 1; done

demo: build
	bin/mulberrybench demo --bin bin --config config/association --run run

up: build
	bin/mulberrybench up --bin bin --config config/$(SITE) --run run

down:
	bin/mulberrybench down --run run

test: build fmtcheck lint unit

unit:
	@if [ -n "$(KNOWN_RED)" ]; then echo "not run, listed in KNOWN-RED.txt: $(KNOWN_RED)"; fi
	@sed -n 's/^passed over: \(.*\)/passed over, listed in KNOWN-RED.txt: \1/p' KNOWN-RED.txt
	@for m in $(MODULES); do (cd $$m && go test -race -timeout 8m $(SKIP) ./...) || exit 1; done

tools: $(TOOLS)/.done

$(TOOLS)/.done: tools/go.mod tools/go.sum
	@mkdir -p $(TOOLS)
	cd tools && GOWORK=off go build -o ../$(TOOLS)/ tool
	@touch $@

lint: tools
	@for m in $(MODULES); do (cd $$m && $(CURDIR)/$(TOOLS)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

fmt: tools
	$(TOOLS)/gofumpt -w $$(git ls-files -co --exclude-standard '*.go')

fmtcheck: tools
	@out=$$($(TOOLS)/gofumpt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$out" ]; then echo "not formatted (run make fmt):"; echo "$$out"; exit 1; fi

generate: tools
	PATH=$(CURDIR)/$(TOOLS):$$PATH go generate ./...
	$(MAKE) fmt
