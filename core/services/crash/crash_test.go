package crash_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/services/crash"
)

var errUnreachable = errors.New("unreachable")

// fleet simulates the guards of several instances. Calls between them fail if partitioned is true.
type fleet struct {
	ids         []string
	guards      map[string]*crash.Guard
	partitioned bool
}

func newFleet(instances int) *fleet {
	f := &fleet{guards: map[string]*crash.Guard{}}
	for n := range instances {
		id := fmt.Sprintf("entry-%d", n)
		f.ids = append(f.ids, id)
		requestGrant := func(_ context.Context, owner string, p crash.Fingerprint) (bool, error) {
			if f.partitioned {
				return false, errUnreachable
			}
			return f.guards[owner].Grant(p), nil
		}
		broadcast := func(_ context.Context, p crash.Fingerprint, e crash.Event) {
			for _, other := range f.ids {
				if other != id && !f.partitioned {
					f.guards[other].Record(p, e)
				}
			}
		}
		f.guards[id] = crash.New(id, func() []string { return f.ids }, requestGrant, broadcast)
	}
	return f
}

// requestFromAll requests an attempt at every instance, within 100 ms for all of them, and returns how many were granted.
func (f *fleet) requestFromAll(p crash.Fingerprint) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	granted := 0
	for _, id := range f.ids {
		if ok, _, _ := f.guards[id].RequestAttempt(ctx, p); ok {
			granted++
		}
	}
	return granted
}

// TestGrantsAfterEvents checks how many instances may send a request after the given events.
func TestGrantsAfterEvents(t *testing.T) {
	type step struct {
		event crash.Event
		after time.Duration
		want  int
	}
	for name, steps := range map[string][]step{
		"one crash":                         {{crash.EventCrashed, 0, 1}, {"", 0, 0}},
		"concurrent crashes on two targets": {{crash.EventCrashed, 0, -1}, {crash.EventCrashed, time.Second, 1}},
		"second attempt crashed":            {{crash.EventCrashed, 0, 1}, {crash.EventCrashedAgain, time.Second, 0}, {"", 5 * time.Minute, 0}, {"", 5 * time.Minute, 0}},
		"later crash before a grant":        {{crash.EventCrashed, 0, -1}, {crash.EventCrashed, 3 * time.Second, 0}},
		"second attempt completed":          {{crash.EventCrashed, 0, 1}, {crash.EventCompleted, time.Second, 7}},
		"second attempt not run":            {{crash.EventCrashed, 0, 1}, {crash.EventNotRun, time.Second, 1}},
		"suspect expired":                   {{crash.EventCrashed, 0, -1}, {"", 11 * time.Minute, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7)
				p := crash.Fingerprint{1}
				for n, s := range steps {
					time.Sleep(s.after)
					if s.event != "" {
						f.guards["entry-3"].Report(context.Background(), p, s.event)
					}
					if s.want < 0 {
						continue
					}
					if got := f.requestFromAll(p); got != s.want {
						t.Errorf("step %d: got %d instances that may send the request, want %d", n, got, s.want)
					}
				}
				if got := f.requestFromAll(crash.Fingerprint{2}); got != 7 {
					t.Errorf("got %d instances that may send another request, want 7", got)
				}
			})
		})
	}
}

// TestUnreachableOwner checks that only the owner itself sends a suspect while the others cannot reach it.
func TestUnreachableOwner(t *testing.T) {
	f := newFleet(7)
	p := crash.Fingerprint{1}
	f.guards["entry-3"].Report(context.Background(), p, crash.EventCrashed)
	f.partitioned = true
	if got := f.requestFromAll(p); got != 1 {
		t.Errorf("got %d instances that may send the request, want only the owner", got)
	}
}

// TestSuspectEviction checks that the number of suspects is limited and the latest ones are kept.
func TestSuspectEviction(t *testing.T) {
	f := newFleet(1)
	guard := f.guards["entry-0"]
	const suspects = 10_000
	remembered := 0
	fingerprint := func(n int) (p crash.Fingerprint) {
		binary.BigEndian.PutUint32(p[:], uint32(n))
		return p
	}
	for n := range suspects {
		guard.Record(fingerprint(n), crash.EventCrashed)
	}
	for n := range suspects {
		if guard.IsSuspect(fingerprint(n)) {
			remembered++
		}
	}
	if !guard.IsSuspect(fingerprint(suspects-1)) || remembered > 4096 || remembered < 2048 {
		t.Errorf("got %d of %d suspects remembered, want 2048 to 4096 that include the last one", remembered, suspects)
	}
}
