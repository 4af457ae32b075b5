// Package crash keeps a request that makes targets die from reaching more than two of them in the whole fleet.
//
// When a connection dies after sending and without an answer, the request's fingerprint becomes a suspect at every
// instance. The one further attempt that a suspect is allowed is granted by the owner of the fingerprint; if a target
// dies again, the fingerprint is blocked.
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
	// maxSuspects bounds the suspects that an instance remembers.
	maxSuspects = 4096
	// idleLifetime is how long a suspect is remembered after it was last seen.
	idleLifetime = 10 * time.Minute
	// maxLifetime bounds how long a suspect is remembered in all.
	maxLifetime = time.Hour
	// waveTime is how far apart the deaths of attempts can be noticed that were all sent before the first death.
	waveTime = 2 * time.Second
	// awaitInterval is the pause between looks at an attempt that another request waits for.
	awaitInterval = 5 * time.Millisecond
)

// Fingerprint identifies a request that may be sent again.
type Fingerprint [32]byte

// Event is what happened to an attempt of a fingerprint.
type Event string

// The events that instances tell each other.
const (
	// EventDied means that a target's connection died while it had the request.
	EventDied Event = "died"
	// EventGranted means that the second attempt is about to be sent.
	EventGranted Event = "granted"
	// EventUnused means that the second attempt was certainly not run.
	EventUnused Event = "unused"
	// EventSurvived means that a target answered the second attempt.
	EventSurvived Event = "survived"
	// EventDiedAgain means that the second attempt died too.
	EventDiedAgain Event = "died-again"
)

// state is what is known of a suspect, in the order of severity.
type state int

const (
	stateNone state = iota
	// stateSuspected allows one attempt.
	stateSuspected
	// stateGranted waits for the outcome of that attempt.
	stateGranted
	// stateBlocked allows no attempt.
	stateBlocked
)

// Guard is one instance's knowledge of suspects.
type Guard struct {
	self  string
	seats func() []string
	// ask asks another instance, the owner, to grant the second attempt.
	ask func(ctx context.Context, owner string, f Fingerprint) (bool, error)
	// tell tells all other instances of an event and returns when they know or the context ends.
	tell func(ctx context.Context, f Fingerprint, e Event)

	// count is the number of suspects, readable without the lock.
	count atomic.Int64

	mu sync.Mutex
	// suspects has at most maxSuspects entries.
	suspects map[Fingerprint]suspect
}

// suspect is a fingerprint that must not simply be sent.
type suspect struct {
	state state
	// first is when it became a suspect, seen when it last occurred.
	first, seen time.Time
}

// New returns a guard of the instance self without suspects.
func New(
	self string, seats func() []string,
	ask func(ctx context.Context, owner string, f Fingerprint) (bool, error),
	tell func(ctx context.Context, f Fingerprint, e Event),
) *Guard {
	return &Guard{self: self, seats: seats, ask: ask, tell: tell, suspects: map[Fingerprint]suspect{}}
}

// Any reports whether there are suspects at all.
func (g *Guard) Any() bool { return g.count.Load() > 0 }

// Suspected reports whether an attempt of the fingerprint needs a grant.
func (g *Guard) Suspected(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.find(f).state != stateNone
}

// Request asks the owner of a suspect for its one attempt, after waiting for the outcome of an attempt that is under
// way. It reports true if the fingerprint may be sent; suspected tells whether this is the attempt that decides. An
// error means that the owner could not be asked.
func (g *Guard) Request(ctx context.Context, f Fingerprint) (granted, suspected bool, err error) {
	switch g.await(ctx, f) {
	case stateNone:
		return true, false, nil
	case stateSuspected:
	default:
		return false, true, nil
	}
	owners := rendezvous.Owners(f[:], g.seats(), 1)
	if len(owners) > 0 && owners[0] != g.self {
		granted, err = g.ask(ctx, owners[0], f)
		if err != nil || !granted {
			return false, true, err
		}
		g.Note(f, EventGranted)
	} else if !g.Grant(f) {
		return false, true, nil
	}
	g.tell(ctx, f, EventGranted)
	return true, true, nil
}

// Grant uses up the one attempt of a suspect and reports whether it was still there.
func (g *Guard) Grant(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.find(f).state > stateSuspected {
		return false
	}
	g.put(f, stateGranted)
	return true
}

// Report notes an event of this instance and tells the others.
func (g *Guard) Report(ctx context.Context, f Fingerprint, e Event) {
	g.Note(f, e)
	g.tell(ctx, f, e)
}

// Note notes an event that any instance has told.
func (g *Guard) Note(f Fingerprint, e Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.find(f)
	switch e {
	case EventDied:
		if s.state != stateNone && time.Since(s.first) > waveTime {
			g.put(f, stateBlocked)
			return
		}
		g.put(f, max(s.state, stateSuspected))
	case EventGranted:
		g.put(f, max(s.state, stateGranted))
	case EventUnused:
		if s.state == stateGranted {
			g.put(f, stateSuspected)
		}
	case EventDiedAgain:
		g.put(f, stateBlocked)
	case EventSurvived:
		delete(g.suspects, f)
		g.count.Store(int64(len(g.suspects)))
	}
}

// await returns the state of a fingerprint once it does not wait for an outcome.
func (g *Guard) await(ctx context.Context, f Fingerprint) state {
	for {
		g.mu.Lock()
		s := g.find(f)
		if s.state == stateBlocked {
			g.put(f, stateBlocked)
		}
		g.mu.Unlock()
		if s.state != stateGranted {
			return s.state
		}
		select {
		case <-time.After(awaitInterval):
		case <-ctx.Done():
			return s.state
		}
	}
}

// find returns a suspect that has not expired.
func (g *Guard) find(f Fingerprint) suspect {
	s, ok := g.suspects[f]
	if ok && (time.Since(s.seen) > idleLifetime || time.Since(s.first) > maxLifetime) {
		delete(g.suspects, f)
		g.count.Store(int64(len(g.suspects)))
		return suspect{}
	}
	return s
}

func (g *Guard) put(f Fingerprint, next state) {
	s, known := g.suspects[f]
	if !known {
		if len(g.suspects) >= maxSuspects {
			g.evict()
		}
		s.first = time.Now()
	}
	s.state, s.seen = next, time.Now()
	g.suspects[f] = s
	g.count.Store(int64(len(g.suspects)))
}

// evict forgets the suspects that were not seen for the longest time, an eighth of all.
func (g *Guard) evict() {
	seen := make([]time.Time, 0, len(g.suspects))
	for _, s := range g.suspects {
		seen = append(seen, s.seen)
	}
	slices.SortFunc(seen, time.Time.Compare)
	limit := seen[len(seen)/8]
	for f, s := range g.suspects {
		if !s.seen.After(limit) {
			delete(g.suspects, f)
		}
	}
}
