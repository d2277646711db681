# All targets need only Go, make and a C compiler.

PACKAGES = $$(go list work)
GOFILES  = $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build test check fmt vet lint generate generated wire-names demo bench soak gateway-soak fuzz tidy

all: check test

build:
	go build -o bin/ work

# Runs every test with the race detector and prints the totals. Tests listed
# in KNOWN-RED.txt are left out and printed.
test:
	@sh .ci/test

check: fmt vet lint generated wire-names

fmt:
	@out=$$(gofmt -l $(GOFILES)); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

vet:
	go vet work

lint:
	go tool staticcheck $(PACKAGES)

generate:
	cd tools && go run ./cmd/genproto ../api/wire wire.proto

# Compiles the .proto files again and compares the result with the committed code.
generated:
	@dir=$$(mktemp -d) && cp api/wire/wire.proto $$dir && (cd tools && go run ./cmd/genproto $$dir wire.proto) && \
	cmp $$dir/wire.pb.go api/wire/wire.pb.go; code=$$?; rm -rf $$dir; exit $$code

demo: build
	go run ./testbed/cmd/demo -bin bin

# Mixes faults at random under load; see bin/soak -h for the flags.
# Example: make soak SOAK='-seed 7 -duration 10m -callers 20'
soak: build
	bin/soak -bin bin $(SOAK)

# Plays seeds of faults against gateways before stand-ins of the users'
# platform; see bin/gatewaysoak -h for the flags.
# Example: make gateway-soak SOAK='-seed 100 -seeds 50 -jobs 4'
gateway-soak: build
	bin/gatewaysoak -bin bin $(SOAK)

# Fuzzes the decoders of foreign bytes for a few seconds each; the inputs that
# were kept are run by every `make test`. The end is a count of inputs: with a
# duration, `go test` at times reports the end itself as a failure ("context
# deadline exceeded"), as its own workers see the deadline later than it does.
FUZZ_INPUTS = 60000x
fuzz:
	go test -run xxx -fuzz FuzzDecode -fuzztime $(FUZZ_INPUTS) ./platform
	go test -run xxx -fuzz FuzzEventBuffer -fuzztime $(FUZZ_INPUTS) ./gateway/ingress

# Fails if names of the platform's protocol stand outside its adapter.
wire-names:
	.ci/wire-names

# Measures the decision modules in virtual time at the committed loads and
# seeds, and writes tables and plots to out/bench. Equal on every run.
bench:
	go run ./policy/cmd/policybench -report out/bench -limit 3m

tidy:
	@for m in $$(go list -m -f '{{.Dir}}'); do (cd $$m && go mod tidy) || exit 1; done
