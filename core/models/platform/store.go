// Package platform is a client of the platform's key-value store and its registry of instances.
package platform

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version changes with every write of the key and is never zero for an existing key.
	Version uint64
}

// Store is the interface to the key-value store. Every call ends at the deadline of its context or at its own timeout.
type Store struct {
	// Get returns one entry, or ErrKeyNotExist.
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes a value if the key still has the expected version; zero expects that the key does not exist.
	// It returns ErrConflict if the version differed, and ErrOutcomeUnknown if the write may or may not have been applied.
	Put func(ctx context.Context, key string, value []byte, expected uint64) error
	// Delete removes a key if it still has the expected version.
	Delete func(ctx context.Context, key string, expected uint64) error
	// List returns all entries whose keys start with the prefix, sorted by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// WaitFor returns the entry of a key as soon as it exists with a version other than known. At the end of the wait it
	// returns the unchanged entry, or ErrKeyNotExist.
	WaitFor func(ctx context.Context, key string, known uint64, wait time.Duration) (Entry, error)
}

// RegisteredInstance is an instance in the platform's registry, which may be out of date.
type RegisteredInstance struct {
	ID      string
	Leaving bool
}

// Registry is the interface to the platform's registry of instances.
type Registry struct {
	// List returns the live and leaving instances that the platform knows of.
	List func(ctx context.Context) ([]RegisteredInstance, error)
}

// ErrKeyNotExist is returned for a key that the store does not hold.
type ErrKeyNotExist struct {
	Key string
}

// Error implements error.
func (e *ErrKeyNotExist) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ErrConflict is returned for a write that was not applied because the key had another version.
type ErrConflict struct {
	Key string
}

// Error implements error.
func (e *ErrConflict) Error() string { return fmt.Sprintf("key %q has another version", e.Key) }

// ErrOutcomeUnknown is returned for a write that may or may not have been applied.
type ErrOutcomeUnknown struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("write of %q: outcome unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// ErrUnavailable is returned for a call that the store failed to serve and that changed nothing.
type ErrUnavailable struct {
	Cause error
}

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("store unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }
