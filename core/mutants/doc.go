// Package mutants checks that the tests can fail: `make mutants` applies each deliberate fault of docs/MUTANTS.md, one
// at a time, and requires that the test named beside it fails.
package mutants
