.PHONY: build test fmt demo bench overhead replay faults soak

build:
	go build ./...

# Checks the format, vets, runs staticcheck, builds, and runs all tests with the
# race detector.
test:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go build ./...
	bash scripts/test.sh

fmt:
	go tool gofumpt -w .

# Runs an example on this machine: make demo EXAMPLE=zagara HOSTS=2 PORT_BASE=19000 LOAD_RATE=50
demo:
	bash scripts/demo.sh

# Runs all benchmarks, or the selected ones: make bench BENCH=Decision PKG=./internal/capacity OUT=f.json
bench:
	OUT=$(OUT) BENCH='$(or $(BENCH),.)' PKG=$(or $(PKG),./...) bash scripts/bench.sh

# Measures the overhead of an entry host over a direct call: make overhead STAGES=4 CLIENTS=8 OUT=f.json
overhead:
	go run ./cmd/load overhead --stages $(or $(STAGES),1) --clients $(or $(CLIENTS),1) $(if $(OUT),--out $(OUT))

# Runs the fault test: RUNS runs of N operations, each with the next seed, starting
# at SEED. Writes the reports to OUT as JSON and fails if a guarantee is violated.
SEED ?= 1
N ?= 2000
RUNS ?= 1
OUT ?=
faults:
	go test -race -count=1 -timeout 4h -run 'TestFaultRun$$' -v ./internal/faultrun \
		-faults.seed=$(SEED) -faults.n=$(N) -faults.runs=$(RUNS) -faults.out=$(OUT)

# Replays the traffic traces against the scheduling code: make replay SEED=7 OUT=f.json
replay:
	go run ./cmd/replay --seed=$(SEED) $(if $(OUT),--out=$(OUT))

# Runs the soak test: daemons as separate processes on this machine, with random
# faults injected from outside; RUNS runs of N requests, each with the next seed,
# starting at SEED. KEEP is a folder for the logs of failed runs; OTHER is the path
# of bilberryedge of another build, which some of the hosts run. ROUNDS are those of
# a run of TestHostsThatStop, in each of which hosts stop; HOSTS is the number of hosts.
KEEP ?=
OTHER ?=
ROUNDS ?= 6
HOSTS ?= 3
soak:
	go test -count=1 -timeout 4h -run 'TestSoak$$|TestStreamsThroughReleases$$|TestServersFallSilent$$|TestStreamsOfServersThatFallSilent$$|TestHostsThatStop$$|TestBrokenAnswersReachNoClient$$' -v ./internal/soak \
		-soak.seed=$(SEED) -soak.runs=$(RUNS) -soak.requests=$(N) -soak.keep=$(KEEP) -soak.other=$(OTHER) -soak.rounds=$(ROUNDS) -soak.hosts=$(HOSTS)
