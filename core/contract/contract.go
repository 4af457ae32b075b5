// Package contract holds contract tests: tables of test cases that every implementation of an interface must pass. The
// interface covered is that of the key-value store.
package contract

import (
	"context"
	"errors"
	"testing"
	"time"
)

const (
	// callTimeout bounds each call that must end by itself; a call that lasts longer has failed.
	callTimeout = 10 * time.Second
	// shortWait is a short wait time or timeout, for calls that must end without a change or with an error.
	shortWait = 300 * time.Millisecond
)

// runWithDeadline runs a function with a context that ends after d, and fails if the function runs for longer than d plus
// callTimeout.
func runWithDeadline(t *testing.T, d time.Duration, f func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	select {
	case <-done:
	case <-time.After(d + callTimeout):
		t.Fatal("the function is still running long after its deadline")
	}
}

// wantError fails unless the error is of the given type.
func wantError[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("got error %v, want an error of type %T", err, want)
	}
}
