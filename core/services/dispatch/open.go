package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"
)

// revocationGrace is how long a request that a target is running may continue after its key was revoked. Together with
// the time until a change is active at every instance, it stays below 5 s.
const revocationGrace = 2 * time.Second

// errKeyRevoked is the cancellation cause of a request whose key was revoked.
var errKeyRevoked = errors.New("the API key was revoked")

// inFlightCalls holds the unfinished requests of routes that require a key.
type inFlightCalls struct {
	mu    sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

func newInFlightCalls() *inFlightCalls {
	return &inFlightCalls{calls: map[*call]context.CancelCauseFunc{}}
}

// add registers a call with the function that cancels it, and returns the function that removes it again.
func (o *inFlightCalls) add(c *call, cancel context.CancelCauseFunc) (remove func()) {
	if c.team == "" {
		return func() {}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c] = cancel
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.calls, c)
	}
}

// cancelRevoked cancels the calls whose key is no longer valid: immediately if they are queued, and after
// revocationGrace if a target may be running them.
func (o *inFlightCalls) cancelRevoked(valid func(c *call) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, cancel := range o.calls {
		switch {
		case valid(c):
		case c.running.Load():
			time.AfterFunc(revocationGrace, func() { cancel(errKeyRevoked) })
			delete(o.calls, c)
		default:
			cancel(errKeyRevoked)
		}
	}
}

// Run cancels requests whose keys were revoked, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		changed := d.state.Changed()
		d.inFlight.cancelRevoked(d.keyValid)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// keyValid reports whether the active configuration still assigns the call's key to the same team.
func (d *Dispatcher) keyValid(c *call) bool {
	if c.team == "" {
		return true
	}
	team, ok := d.state.View().Snapshot.TeamOf(c.keyHash)
	return ok && team == c.team
}

// keyRevoked reports whether the call was cancelled because its key was revoked.
func keyRevoked(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errKeyRevoked) }
