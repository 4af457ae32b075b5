// Package neighbor keeps the instances of a failure domain told of each other's work on targets, which are shared by all
// of them and report their load only in answers.
package neighbor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/placement"
)

const (
	// Interval is the pause between two rounds; a target runs a request for some hundred milliseconds.
	Interval = 100 * time.Millisecond
	// fullRate is the number of neighbors up to which rounds keep Interval; the pause grows with more, so that an instance
	// sends a bounded number of messages.
	fullRate = 8
	// callTimeout bounds a call; what it carries is worth little later.
	callTimeout = 300 * time.Millisecond
	// silencePause is how long a neighbor is left alone that did not answer.
	silencePause = time.Second
)

// Message is what an instance tells a neighbor.
type Message struct {
	// From is the ID of the sender.
	From string
	Told placement.Told
}

// Parts are what a teller works with.
type Parts struct {
	// Self is the ID of this instance, Place where it runs.
	Self  string
	Place roster.Place
	State *belief.State
	Loads *placement.Loads
	// Tell sends a message to the instance with a peer address.
	Tell   func(ctx context.Context, address string, m Message) error
	Logger *zap.Logger
}

// Teller tells the neighbors of this instance what it does.
type Teller struct {
	Parts

	mu sync.Mutex
	// listeners is keyed by the ID of a neighbor.
	listeners map[string]*listener
}

// listener is what is known of a neighbor.
type listener struct {
	// told is the number of the news to go on from.
	told uint64
	// busy is true while a call is under way.
	busy bool
	// silentUntil is when a neighbor that did not answer is called again; zero for one that answers.
	silentUntil time.Time
}

// New returns a teller that has told nothing.
func New(p Parts) *Teller { return &Teller{Parts: p, listeners: map[string]*listener{}} }

// Run tells all neighbors in rounds until the context ends.
func (t *Teller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		neighbors := t.neighbors()
		pause := Interval * time.Duration(max(len(neighbors), fullRate)) / fullRate
		for _, n := range neighbors {
			t.tell(ctx, n, pause)
		}
		if len(neighbors) == 0 {
			pause = silencePause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// neighbors returns the other instances of the failure domain and forgets those that are gone.
func (t *Teller) neighbors() []roster.Instance {
	var found []roster.Instance
	present := map[string]bool{}
	for _, i := range t.State.View().Instances {
		if i.ID != t.Self && i.Place == t.Place && i.Peer != "" {
			found = append(found, i)
			present[i.ID] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.listeners {
		if !present[id] {
			delete(t.listeners, id)
		}
	}
	return found
}

// tell starts a call unless one is under way or the neighbor has not answered lately; the next is due after a pause.
func (t *Teller) tell(ctx context.Context, neighbor roster.Instance, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.listeners[neighbor.ID]
	if !ok {
		l = &listener{}
		t.listeners[neighbor.ID] = l
	}
	if l.busy || time.Now().Before(l.silentUntil) {
		return
	}
	l.busy = true
	told, next := t.Loads.Tell(l.told, pause)
	go func() {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := t.Tell(bounded, neighbor.Peer, Message{From: t.Self, Told: told})
		t.mu.Lock()
		defer t.mu.Unlock()
		l.busy = false
		if err != nil {
			if l.silentUntil.IsZero() && ctx.Err() == nil {
				t.Logger.Info("neighbor lost", zap.String(logging.FieldPeer, neighbor.ID), zap.Error(err))
			}
			l.silentUntil = time.Now().Add(silencePause)
			return
		}
		if !l.silentUntil.IsZero() {
			t.Logger.Info("neighbor regained", zap.String(logging.FieldPeer, neighbor.ID))
		}
		l.silentUntil, l.told = time.Time{}, next
	}()
}
