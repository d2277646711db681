# All targets need only Go, make and a C compiler.

PACKAGES = $$(go list work)
GOFILES  = $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build test check fmt vet lint generate generated wire-names demo bench soak gateway-soak fuzz tidy

all: check test

build:
	go build -o bin/ work

# Runs all tests with the race detector and prints the totals. The tests listed
# in KNOWN-RED.txt are skipped and printed.
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

# Regenerates the code of the .proto files and compares it with the committed code.
generated:
	@dir=$$(mktemp -d) && cp api/wire/wire.proto $$dir && (cd tools && go run ./cmd/genproto $$dir wire.proto) && \
	cmp $$dir/wire.pb.go api/wire/wire.pb.go; code=$$?; rm -rf $$dir; exit $$code

demo: build
	go run ./testbed/cmd/demo -bin bin

# Runs a fleet under load and random faults; see bin/soak -h for the flags.
# Example: make soak SOAK='-seed 7 -duration 10m -callers 20'
soak: build
	bin/soak -bin bin $(SOAK)

# Runs gateways under random faults in front of stand-ins for the users'
# platform, once per seed; see bin/gatewaysoak -h for the flags.
# Example: make gateway-soak SOAK='-seed 100 -seeds 50 -jobs 4'
# With -planned there is only planned work: stops, reloads, changes of the
# configuration and drains, under which each request must get an answer.
gateway-soak: build
	bin/gatewaysoak -bin bin $(SOAK)

# Fuzzes the decoders of untrusted input for a few seconds each; `make test` runs
# the saved inputs. The run is limited by a number of inputs and not by time,
# because with a time limit `go test` sometimes fails with "context deadline
# exceeded" when its workers notice the deadline later than it does.
FUZZ_INPUTS = 60000x
fuzz:
	go test -run xxx -fuzz FuzzDecode -fuzztime $(FUZZ_INPUTS) ./platform
	go test -run xxx -fuzz FuzzEventBuffer -fuzztime $(FUZZ_INPUTS) ./gateway/ingress

# Fails if names of the platform's protocol appear outside its adapter.
wire-names:
	.ci/wire-names

# Measures the policies in virtual time with the committed loads and seeds, and
# writes tables and plots to out/bench. The results are equal on every run.
bench:
	go run ./policy/cmd/policybench -report out/bench -limit 3m

tidy:
	@for m in $$(go list -m -f '{{.Dir}}'); do (cd $$m && go mod tidy) || exit 1; done
