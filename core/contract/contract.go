// Package contract holds the tests of the interfaces of medlarpond, as tables that any implementation of the other side
// can be run against: a store, a caller's view of an instance, an operator's.
package contract

import (
	"context"
	"errors"
	"testing"
	"time"
)

const (
	// callBound bounds each call that must end by itself; a call that lasts longer has failed.
	callBound = 10 * time.Second
	// shortWait is a wait that must end without a change.
	shortWait = 300 * time.Millisecond
)

// bounded runs a function with a context that ends after a while, and fails if the function outlives it for long.
func bounded(t *testing.T, d time.Duration, f func(ctx context.Context)) {
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
	case <-time.After(d + callBound):
		t.Fatal("the call did not end by its deadline")
	}
}

// wantError fails unless the error is of the given type.
func wantError[E error](t *testing.T, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("got %v, want an error of type %T", err, want)
	}
}
