// Package crash prevents a request that crashes targets from reaching more than a few of them in the whole fleet. A Guard does
// so for instances that call each other, a Tally for instances that share a store.
//
// For the Guard: when a target's connection closes after the request was sent and before a response, the attempt counts as a crash,
// and the request's fingerprint becomes a suspect at every instance. One more attempt, called the second attempt, is
// allowed, which the owner of the fingerprint grants. If it crashes too, the fingerprint is blocked.
package crash

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"medlarpond.dev/core/modules/rendezvous"
)

const (
	// maxSuspects is the maximum number of suspects that an instance remembers.
	maxSuspects = 4096
	// idleTimeout is how long a suspect is remembered after its last event.
	idleTimeout = 10 * time.Minute
	// maxLifetime is the maximum time that a suspect is remembered.
	maxLifetime = time.Hour
	// concurrentCrashWindow is the time after the first crash within which further crashes count as the same one, since
	// their attempts may have been sent before the first crash was detected.
	concurrentCrashWindow = 2 * time.Second
	// pollInterval is the time between checks of a pending attempt of another request with the same fingerprint.
	pollInterval = 5 * time.Millisecond
)

// Event is a grant or an outcome of an attempt.
type Event string

// The events that instances send to each other.
const (
	// EventCrashed means that a target's connection closed while the target had the request.
	EventCrashed Event = "died"
	// EventGranted means that the second attempt is about to be sent.
	EventGranted Event = "granted"
	// EventNotRun means that the second attempt was certainly not run.
	EventNotRun Event = "unused"
	// EventCompleted means that a target responded to the second attempt.
	EventCompleted Event = "survived"
	// EventCrashedAgain means that the target's connection closed during the second attempt as well.
	EventCrashedAgain Event = "died-again"
)

// state is the state of a suspect, in the order of severity.
type state int

const (
	stateNone state = iota
	// stateSuspected allows one attempt.
	stateSuspected
	// stateGranted means that the outcome of that attempt is pending.
	stateGranted
	// stateBlocked allows no attempt.
	stateBlocked
)

// Guard tracks the suspects at one instance. It is safe for concurrent use.
type Guard struct {
	self  string
	seats func() []string
	// requestGrant asks another instance, the owner, to grant the second attempt.
	requestGrant func(ctx context.Context, owner string, f Fingerprint) (bool, error)
	// broadcast sends an event to all other instances, and returns when they have received it or the context ends.
	broadcast func(ctx context.Context, f Fingerprint, e Event)

	// suspectCount is the number of suspects, readable without mu.
	suspectCount atomic.Int64

	mu sync.Mutex
	// suspects has at most maxSuspects entries.
	suspects map[Fingerprint]suspect
}

// suspect is the state of a fingerprint whose attempts need a grant or are blocked.
type suspect struct {
	state state
	// firstSeen is when the fingerprint became a suspect, lastSeen when its last event or blocked request occurred.
	firstSeen, lastSeen time.Time
}

// New returns a guard without suspects for the instance self; seats returns the IDs of the instances that own
// fingerprints.
func New(
	self string, seats func() []string,
	requestGrant func(ctx context.Context, owner string, f Fingerprint) (bool, error),
	broadcast func(ctx context.Context, f Fingerprint, e Event),
) *Guard {
	return &Guard{self: self, seats: seats, requestGrant: requestGrant, broadcast: broadcast, suspects: map[Fingerprint]suspect{}}
}

// HasSuspects reports whether there are any suspects, without locking.
func (g *Guard) HasSuspects() bool { return g.suspectCount.Load() > 0 }

// IsSuspect reports whether an attempt of the fingerprint needs a grant.
func (g *Guard) IsSuspect(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lookup(f).state != stateNone
}

// RequestAttempt asks the owner of a suspect to grant its second attempt, after waiting for the outcome of a pending
// one. It reports whether the fingerprint may be sent, and whether the fingerprint is a suspect; if both are true, the
// caller sends the second attempt and must report its outcome. An error means that the owner did not respond.
func (g *Guard) RequestAttempt(ctx context.Context, f Fingerprint) (granted, suspected bool, err error) {
	switch g.waitForOutcome(ctx, f) {
	case stateNone:
		return true, false, nil
	case stateSuspected:
	default:
		return false, true, nil
	}
	owners := rendezvous.Owners(f[:], g.seats(), 1)
	if len(owners) > 0 && owners[0] != g.self {
		granted, err = g.requestGrant(ctx, owners[0], f)
		if err != nil || !granted {
			return false, true, err
		}
		g.Record(f, EventGranted)
	} else if !g.Grant(f) {
		return false, true, nil
	}
	g.broadcast(ctx, f, EventGranted)
	return true, true, nil
}

// Grant grants the second attempt of a fingerprint, and reports false if it was already granted or is blocked.
func (g *Guard) Grant(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lookup(f).state > stateSuspected {
		return false
	}
	g.setState(f, stateGranted)
	return true
}

// Report records an event of this instance and sends it to all others.
func (g *Guard) Report(ctx context.Context, f Fingerprint, e Event) {
	g.Record(f, e)
	g.broadcast(ctx, f, e)
}

// Record records an event of any instance.
func (g *Guard) Record(f Fingerprint, e Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.lookup(f)
	switch e {
	case EventCrashed:
		if s.state != stateNone && time.Since(s.firstSeen) > concurrentCrashWindow {
			g.setState(f, stateBlocked)
			return
		}
		g.setState(f, max(s.state, stateSuspected))
	case EventGranted:
		g.setState(f, max(s.state, stateGranted))
	case EventNotRun:
		if s.state == stateGranted {
			g.setState(f, stateSuspected)
		}
	case EventCrashedAgain:
		g.setState(f, stateBlocked)
	case EventCompleted:
		delete(g.suspects, f)
		g.suspectCount.Store(int64(len(g.suspects)))
	}
}

// waitForOutcome returns the state of a fingerprint once no attempt is pending, or stateGranted if the context ends
// before. A blocked fingerprint counts as seen, so that it stays blocked while it is requested.
func (g *Guard) waitForOutcome(ctx context.Context, f Fingerprint) state {
	for {
		g.mu.Lock()
		s := g.lookup(f)
		if s.state == stateBlocked {
			g.setState(f, stateBlocked)
		}
		g.mu.Unlock()
		if s.state != stateGranted {
			return s.state
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return s.state
		}
	}
}

// lookup returns a suspect, or the zero value if it is unknown or has expired. The caller must hold mu.
func (g *Guard) lookup(f Fingerprint) suspect {
	s, ok := g.suspects[f]
	if ok && (time.Since(s.lastSeen) > idleTimeout || time.Since(s.firstSeen) > maxLifetime) {
		delete(g.suspects, f)
		g.suspectCount.Store(int64(len(g.suspects)))
		return suspect{}
	}
	return s
}

func (g *Guard) setState(f Fingerprint, next state) {
	s, known := g.suspects[f]
	if !known {
		if len(g.suspects) >= maxSuspects {
			g.evict()
		}
		s.firstSeen = time.Now()
	}
	s.state, s.lastSeen = next, time.Now()
	g.suspects[f] = s
	g.suspectCount.Store(int64(len(g.suspects)))
}

// evict removes the least recently seen eighth of the suspects.
func (g *Guard) evict() {
	times := make([]time.Time, 0, len(g.suspects))
	for _, s := range g.suspects {
		times = append(times, s.lastSeen)
	}
	slices.SortFunc(times, time.Time.Compare)
	cutoff := times[len(times)/8]
	for f, s := range g.suspects {
		if !s.lastSeen.After(cutoff) {
			delete(g.suspects, f)
		}
	}
}
