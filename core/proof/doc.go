// Package proof holds end-to-end tests of the guarantees of the system, on whole instances over real sockets.
// docs/PROOF.md maps each guarantee to its tests.
package proof
