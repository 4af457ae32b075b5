// Package mutants holds the mutation tests: `make mutants` applies each deliberate fault (mutant) of docs/MUTANTS.md, one
// at a time, and requires that the test named in the same row fails.
package mutants
