// Package proof holds the tests of what must always hold, on whole instances over real sockets; docs/PROOF.md maps each
// promise to its tests.
package proof
