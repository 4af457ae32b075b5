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

var errCut = errors.New("cut")

// fleet is the guards of some instances, which reach each other unless cut is true.
type fleet struct {
	ids    []string
	guards map[string]*crash.Guard
	cut    bool
}

func newFleet(instances int) *fleet {
	f := &fleet{guards: map[string]*crash.Guard{}}
	for n := range instances {
		id := fmt.Sprintf("entry-%d", n)
		f.ids = append(f.ids, id)
		ask := func(_ context.Context, owner string, p crash.Fingerprint) (bool, error) {
			if f.cut {
				return false, errCut
			}
			return f.guards[owner].Grant(p), nil
		}
		tell := func(_ context.Context, p crash.Fingerprint, e crash.Event) {
			for _, other := range f.ids {
				if other != id && !f.cut {
					f.guards[other].Note(p, e)
				}
			}
		}
		f.guards[id] = crash.New(id, func() []string { return f.ids }, ask, tell)
	}
	return f
}

// ask lets every instance ask for an attempt within 100 ms and returns how many were granted one.
func (f *fleet) ask(p crash.Fingerprint) int {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	granted := 0
	for _, id := range f.ids {
		if ok, _, _ := f.guards[id].Request(ctx, p); ok {
			granted++
		}
	}
	return granted
}

// TestGrants checks how many instances may send a request after what happened to its attempts.
func TestGrants(t *testing.T) {
	type step struct {
		event crash.Event
		after time.Duration
		want  int
	}
	for name, steps := range map[string][]step{
		"died once":               {{crash.EventDied, 0, 1}, {"", 0, 0}},
		"died on many targets":    {{crash.EventDied, 0, -1}, {crash.EventDied, time.Second, 1}},
		"died again":              {{crash.EventDied, 0, 1}, {crash.EventDiedAgain, time.Second, 0}, {"", 5 * time.Minute, 0}, {"", 5 * time.Minute, 0}},
		"died where it was new":   {{crash.EventDied, 0, -1}, {crash.EventDied, 3 * time.Second, 0}},
		"survived":                {{crash.EventDied, 0, 1}, {crash.EventSurvived, time.Second, 7}},
		"second attempt not sent": {{crash.EventDied, 0, 1}, {crash.EventUnused, time.Second, 1}},
		"forgotten":               {{crash.EventDied, 0, -1}, {"", 11 * time.Minute, 7}},
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
					if got := f.ask(p); got != s.want {
						t.Errorf("step %d: %d instances may send it, want %d", n, got, s.want)
					}
				}
				if got := f.ask(crash.Fingerprint{2}); got != 7 {
					t.Errorf("%d instances may send another request, want 7", got)
				}
			})
		})
	}
}

// TestOwnerOutOfReach checks that without the owner nobody but the owner sends a suspect.
func TestOwnerOutOfReach(t *testing.T) {
	f := newFleet(7)
	p := crash.Fingerprint{1}
	f.guards["entry-3"].Report(context.Background(), p, crash.EventDied)
	f.cut = true
	if got := f.ask(p); got != 1 {
		t.Errorf("%d instances may send it, want the owner alone", got)
	}
}

// TestBoundedMemory checks that the suspects that are seen last are the ones that are remembered.
func TestBoundedMemory(t *testing.T) {
	f := newFleet(1)
	guard := f.guards["entry-0"]
	const suspects = 10_000
	remembered := 0
	fingerprint := func(n int) (p crash.Fingerprint) {
		binary.BigEndian.PutUint32(p[:], uint32(n))
		return p
	}
	for n := range suspects {
		guard.Note(fingerprint(n), crash.EventDied)
	}
	for n := range suspects {
		if guard.Suspected(fingerprint(n)) {
			remembered++
		}
	}
	if !guard.Suspected(fingerprint(suspects-1)) || remembered > 4096 || remembered < 2048 {
		t.Errorf("%d of %d suspects are remembered, want at most 4096 and the last", remembered, suspects)
	}
}
