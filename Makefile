.PHONY: build test fmt demo bench replay

build:
	go build ./...

# Formatter, vet, staticcheck, build and all tests with the race detector.
test:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go build ./...
	go test -race -count=1 ./...

fmt:
	go tool gofumpt -w .

demo:
	bash scripts/demo.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Replays the stated traces on the decision code: make replay SEED=7 OUT=f.json
SEED ?= 1
replay:
	go run ./cmd/replay --seed=$(SEED) $(if $(OUT),--out=$(OUT))
