# Targets for developers. CI runs .ci/run, which calls these targets.

MODULES := bench core entry mpctl platform standin trial
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0

.PHONY: fault-soak slopes build fmt fmt-check lint vet test tools rename-tools tidy mutants count fuzz soak

build:
	go build -o bin/ ./bench ./entry ./mpctl ./platform ./standin ./trial

tools:
	@golangci-lint version 2>/dev/null | grep -q '$(GOLANGCI_VERSION:v%=%)' || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# Installs the language server, which renames an identifier with all its uses: gopls rename -w FILE:LINE:COLUMN NAME.
rename-tools:
	@gopls version 2>/dev/null | grep -q '$(GOPLS_VERSION)' || go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

fmt:
	golangci-lint fmt $(MODULES:%=./%/...)

fmt-check:
	@test -z "$$(golangci-lint fmt --diff $(MODULES:%=./%/...) | tee /dev/stderr)"

lint:
	golangci-lint run $(MODULES:%=./%/...)

vet:
	go vet $(MODULES:%=./%/...)

# Tests with an entry in KNOWN-RED.txt are left out here; .ci/known-red runs them.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)

test:
	go test -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(MODULES:%=./%/...)

tidy:
	for m in $(MODULES); do (cd $$m && go mod tidy) || exit 1; done

# Runs the mutation tests: applies each mutant of docs/MUTANTS.md and requires that the test listed with it fails.
mutants:
	go test -tags mutants -count=1 -timeout 30m -v -run TestMutants ./core/mutants

# Counts the lines of code and of tests; core/contract counts as tests.
count:
	@git ls-files '*.go' | grep -v '_test\.go$$' | grep -v '^core/contract/' | xargs cat | wc -l | xargs echo "code lines:"
	@git ls-files '*_test.go' core/contract | xargs cat | wc -l | xargs echo "test lines:"

# Runs each native fuzz target for FUZZTIME. Inputs that fail are stored under testdata as seeds.
FUZZTIME ?= 20s
FUZZ := core/settings:FuzzParse core/models/resource:FuzzResource core/services/configuration:FuzzRecord \
	core/modules/peer:FuzzServer mpctl/api:FuzzDecodeResources core/services/dispatch:FuzzKey core/routers/front:FuzzPipeline core/routers/front:FuzzFraming \
	mpctl/check:FuzzRun

fuzz:
	for f in $(FUZZ); do go test -run '^$$' -fuzz "^$${f#*:}$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 5x -parallel 4 ./$${f%:*} || exit 1; done

# Runs the property tests (pgregory.net/rapid) with CHECKS checks, many more than in CI. SEED 0 chooses a random seed.
SEED ?= 0
CHECKS ?= 5000
SOAK := $(shell grep -rl 'pgregory.net/rapid' --include='*_test.go' core bench 2>/dev/null | xargs -r -n1 dirname | sort -u | sed 's|^|./|')

soak:
	go test -timeout 2h $(SOAK) -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# Runs the fault injection soak test, with each instance as a separate process, for SEEDS
# consecutive seeds that start at SEED, or at 1 if SEED is 0.
SEEDS ?= 50

fault-soak:
	go test -timeout 2h -v -run TestSoak ./platform -soak.seed=$(or $(filter-out 0,$(SEED)),1) -soak.seeds=$(SEEDS) -soak.time=8s

# Runs the benchmarks from which the figures in docs/CAPACITY.md are derived.
slopes:
	go test -run '^$$' -bench . -count 3 ./core/modules/prefix ./core/models/resource
	go test -run '^$$' -bench 'Image|Apply' -count 3 ./core/services/configuration
	go test -run '^$$' -bench 'Fleet|Nearest' -count 3 ./core/services/membership
	go run ./bench slopes --runs 3
