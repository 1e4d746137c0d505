.PHONY: build test fmt demo bench overhead replay

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

# Runs an example: make demo EXAMPLE=zagara HOSTS=2 PORT_BASE=19000
demo:
	bash scripts/demo.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# What an entry host adds to a direct call: make overhead STAGES=4 CLIENTS=8 OUT=f.json
overhead:
	go run ./cmd/load overhead --stages $(or $(STAGES),1) --clients $(or $(CLIENTS),1) $(if $(OUT),--out $(OUT))

# Replays the stated traces on the decision code: make replay SEED=7 OUT=f.json
SEED ?= 1
replay:
	go run ./cmd/replay --seed=$(SEED) $(if $(OUT),--out=$(OUT))
