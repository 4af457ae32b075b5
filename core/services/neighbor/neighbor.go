// Package neighbor sends an instance's load and attempt results to the other instances of its failure domain. They
// share the same targets, which report their load only in responses.
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
	// Interval is the time between two updates. It is well below the duration of a request, which is a few hundred
	// milliseconds.
	Interval = 100 * time.Millisecond
	// fullRateNeighbors is the number of neighbors up to which updates are sent every Interval. With more neighbors the
	// interval grows in proportion, which bounds the message rate of an instance.
	fullRateNeighbors = 8
	// callTimeout is the timeout of a call; an older update would be of little use.
	callTimeout = 300 * time.Millisecond
	// failureBackoff is the delay before a neighbor is called again after a failed call.
	failureBackoff = time.Second
)

// Message is the update that an instance sends to a neighbor. Its fields are encoded with gob and keep their names.
type Message struct {
	// From is the ID of the sending instance, Told its update.
	From string
	Told placement.LoadUpdate
}

// Config holds the dependencies and settings of a Broadcaster.
type Config struct {
	// Self is the ID of this instance, Place its location.
	Self  string
	Place roster.Place
	State *belief.State
	Loads *placement.LoadTracker
	// Send sends a message to the instance with the given peer address.
	Send   func(ctx context.Context, address string, m Message) error
	Logger *zap.Logger
}

// Broadcaster sends periodic updates to the neighbors of this instance.
type Broadcaster struct {
	Config

	mu sync.Mutex
	// peers is keyed by the ID of a neighbor.
	peers map[string]*peerState
}

// peerState is the state of the updates to one neighbor.
type peerState struct {
	// nextResult is the sequence number of the next result to send.
	nextResult uint64
	// callInFlight is true while a call is in progress.
	callInFlight bool
	// retryAt is when a neighbor is called again after a failed call; zero if the latest call succeeded.
	retryAt time.Time
}

// New returns a Broadcaster.
func New(config Config) *Broadcaster {
	return &Broadcaster{Config: config, peers: map[string]*peerState{}}
}

// Run sends updates to all neighbors periodically until the context is done.
func (b *Broadcaster) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		neighbors := b.neighbors()
		interval := Interval * time.Duration(max(len(neighbors), fullRateNeighbors)) / fullRateNeighbors
		for _, n := range neighbors {
			b.sendUpdate(ctx, n, interval)
		}
		if len(neighbors) == 0 {
			interval = failureBackoff
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
	return nil
}

// neighbors returns the other instances of the failure domain and drops the state of those that are gone.
func (b *Broadcaster) neighbors() []roster.Instance {
	var found []roster.Instance
	present := map[string]bool{}
	for _, i := range b.State.View().Instances {
		if i.ID != b.Self && i.Place == b.Place && i.Peer != "" {
			found = append(found, i)
			present[i.ID] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.peers {
		if !present[id] {
			delete(b.peers, id)
		}
	}
	return found
}

// sendUpdate starts a call to a neighbor unless one is in progress or the neighbor is in backoff. interval is the time
// until the next update.
func (b *Broadcaster) sendUpdate(ctx context.Context, neighbor roster.Instance, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[neighbor.ID]
	if !ok {
		p = &peerState{}
		b.peers[neighbor.ID] = p
	}
	if p.callInFlight || time.Now().Before(p.retryAt) {
		return
	}
	p.callInFlight = true
	update, next := b.Loads.UpdateSince(p.nextResult, interval)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := b.Send(callCtx, neighbor.Peer, Message{From: b.Self, Told: update})
		b.mu.Lock()
		defer b.mu.Unlock()
		p.callInFlight = false
		if err != nil {
			if p.retryAt.IsZero() && ctx.Err() == nil {
				b.Logger.Info("failed to send a load update to a neighbor instance; retrying after a delay", zap.String(logging.FieldPeer, neighbor.ID), zap.Error(err))
			}
			p.retryAt = time.Now().Add(failureBackoff)
			return
		}
		if !p.retryAt.IsZero() {
			b.Logger.Info("neighbor instance accepts load updates again", zap.String(logging.FieldPeer, neighbor.ID))
		}
		p.retryAt, p.nextResult = time.Time{}, next
	}()
}
