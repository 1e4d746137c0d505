.PHONY: build test fmt demo bench overhead replay faults soak

build:
	go build ./...

# Formatter, vet, staticcheck, build and all tests with the race detector.
test:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go build ./...
	bash scripts/test.sh

fmt:
	go tool gofumpt -w .

# Runs an example: make demo EXAMPLE=zagara HOSTS=2 PORT_BASE=19000 LOAD_RATE=50
demo:
	bash scripts/demo.sh

# All benchmarks, or some: make bench BENCH=Decision PKG=./internal/capacity OUT=f.json
bench:
	OUT=$(OUT) BENCH='$(or $(BENCH),.)' PKG=$(or $(PKG),./...) bash scripts/bench.sh

# What an entry host adds to a direct call: make overhead STAGES=4 CLIENTS=8 OUT=f.json
overhead:
	go run ./cmd/load overhead --stages $(or $(STAGES),1) --clients $(or $(CLIENTS),1) $(if $(OUT),--out $(OUT))

# A long fault run: RUNS runs of N operations, each with the next seed after
# SEED; the reports go to OUT as JSON. Fails if a promise is broken.
SEED ?= 1
N ?= 2000
RUNS ?= 1
OUT ?=
faults:
	go test -race -count=1 -timeout 4h -run 'TestFaultRun$$' -v ./internal/faultrun \
		-faults.seed=$(SEED) -faults.n=$(N) -faults.runs=$(RUNS) -faults.out=$(OUT)

# Replays the stated traces on the decision code: make replay SEED=7 OUT=f.json
replay:
	go run ./cmd/replay --seed=$(SEED) $(if $(OUT),--out=$(OUT))

# Real daemons as processes on this machine under random faults from outside; RUNS
# runs of N requests, each with the next seed after SEED. KEEP is a folder for the
# logs of runs that broke a promise; OTHER is a bilberryedge of another build, of which
# hosts run beside this one's.
KEEP ?=
OTHER ?=
soak:
	go test -count=1 -timeout 4h -run 'TestSoak$$' -v ./internal/soak \
		-soak.seed=$(SEED) -soak.runs=$(RUNS) -soak.requests=$(N) -soak.keep=$(KEEP) -soak.other=$(OTHER)
