package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"
)

// withdrawGrace is how long a request that a target runs may go on after its key was withdrawn. Together with the time
// in which a change is in force everywhere it stays below 5 s.
const withdrawGrace = 2 * time.Second

// errKeyWithdrawn ends a request whose key was withdrawn.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// openCalls holds the requests with a key that are not finished.
type openCalls struct {
	mu    sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

func newOpenCalls() *openCalls {
	return &openCalls{calls: map[*call]context.CancelCauseFunc{}}
}

// add remembers a call with the function that ends it, and returns the function that forgets it.
func (o *openCalls) add(c *call, end context.CancelCauseFunc) (forget func()) {
	if c.team == "" {
		return func() {}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c] = end
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.calls, c)
	}
}

// end ends the calls for which granted reports false: those that wait at once, those that run after withdrawGrace.
func (o *openCalls) end(granted func(c *call) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, end := range o.calls {
		switch {
		case granted(c):
		case c.running.Load():
			time.AfterFunc(withdrawGrace, func() { end(errKeyWithdrawn) })
			delete(o.calls, c)
		default:
			end(errKeyWithdrawn)
		}
	}
}

// Run ends requests whose keys are withdrawn, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		changed := d.state.Changed()
		d.open.end(d.stillGranted)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// stillGranted reports whether the call's key is granted to its team by the configuration in force now.
func (d *Dispatcher) stillGranted(c *call) bool {
	if c.team == "" {
		return true
	}
	team, ok := d.state.View().Snapshot.TeamOf(c.keyHash)
	return ok && team == c.team
}

// withdrawn reports whether the call was ended because its key was withdrawn.
func withdrawn(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errKeyWithdrawn) }
