# Targets for developers. CI calls .ci/run, which calls these.

MODULES := bench core entry mpctl standin trial
GOLANGCI_VERSION := v2.15.0

.PHONY: build fmt fmt-check lint vet test tools tidy mutants count

build:
	go build -o bin/ ./bench ./entry ./mpctl ./standin ./trial

tools:
	@golangci-lint version 2>/dev/null | grep -q '$(GOLANGCI_VERSION:v%=%)' || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

fmt:
	golangci-lint fmt $(MODULES:%=./%/...)

fmt-check:
	@test -z "$$(golangci-lint fmt --diff $(MODULES:%=./%/...) | tee /dev/stderr)"

lint:
	golangci-lint run $(MODULES:%=./%/...)

vet:
	go vet $(MODULES:%=./%/...)

test:
	go test -race $(MODULES:%=./%/...)

tidy:
	for m in $(MODULES); do (cd $$m && go mod tidy) || exit 1; done

# Applies each deliberate fault of docs/MUTANTS.md and requires that the test beside it fails.
mutants:
	go test -tags mutants -count=1 -timeout 30m -v -run TestMutants ./core/mutants

# Counts the lines of code and of tests; tests stay under a third of all.
count:
	@git ls-files '*.go' | grep -v '_test\.go$$' | xargs cat | wc -l | xargs echo "code lines:"
	@git ls-files '*_test.go' core/contract | xargs cat | wc -l | xargs echo "test lines:"
