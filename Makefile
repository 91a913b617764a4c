GO ?= go
MODULES = $(filter-out tools,$(shell sed -n 's|^	\./||p' go.work))
PACKAGES = $(addprefix ./,$(addsuffix /...,$(MODULES)))
# Packages whose tests measure the memory of a process. They run after all others, by
# themselves, and always anew: the test cache does not know the program that they build.
ISOLATED = monsoondeck.example/prover/attacker

.PHONY: all build generate lint test demo bench chaos soak report

all: lint test

build:
	$(GO) build -o bin/ ./cmd/...

generate:
	$(GO) tool go-jsonschema --only-models --min-sized-ints --tags json -t -p messenger --capitalization ID,IDs -o messenger/frame.gen.go messenger/schema/frame.json
	$(GO) run ./messenger/internal/tagger messenger/schema/frame.json messenger/frame.gen.go
	$(GO) tool go-jsonschema --only-models --tags json -t -p wire --capitalization ID,IDs,API -o platform/wire/wire.gen.go platform/wire/schema/platform.json

lint:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "run gofmt -w on: $$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck -checks 'all,-ST1003' $(PACKAGES)
	$(GO) tool revive -config tools/revive.toml -set_exit_status $(PACKAGES)

test:
	@status=0; \
	$(GO) test $$($(GO) list -e $(PACKAGES) | grep -vxF $(ISOLATED)) || status=1; \
	$(GO) test -p 1 -count=1 $(ISOLATED) || status=1; \
	exit $$status

demo:
	@$(GO) run ./cmd/monsoonload demo

bench:
	@$(GO) run ./cmd/monsoonload bench $(BENCH_FLAGS)

soak:
	@$(GO) run ./cmd/monsoonload soak $(SOAK_FLAGS)

chaos:
	@$(GO) run ./cmd/monsoonload chaos $(CHAOS_FLAGS)
