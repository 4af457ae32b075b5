// Package relay lets the instances of a failure domain follow the store through one of them, so that calls to the store
// grow with failure domains and not with instances.
//
// Every instance keeps the latest changes of each topic in a log. One instance of up to nine, chosen by hash, asks the store;
// the others ask it for its log, and ask the store themselves as soon as it falls silent or says that it has lost the store.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/modules/rendezvous"
	"medlarpond.dev/core/services/belief"
)

const (
	// callTimeout bounds a question beyond the wait for changes; a large change takes that long on a slow link.
	callTimeout = 400 * time.Millisecond
	// maxFollowers bounds the instances that follow one leader: a change of the intent takes some hundred kilobytes, and links
	// carry ten megabits a second.
	maxFollowers = 8
	// failurePause is how long an instance asks the store after its leader has failed.
	failurePause = 3 * time.Second
)

// Question asks for the changes of a topic.
type Question struct {
	Topic string
	// Log names the log that Position counts in; zero if Revision alone says what the asker knows.
	Log, Position uint64
	// Revision is the store's revision up to which the asker knows every change.
	Revision uint64
}

// Answer holds changes.
type Answer struct {
	// Lost is true if the instance has lost the store; the rest is empty then.
	Lost bool
	// Whole is true if the log does not reach back far enough; Changes then holds every key that exists, and no other does.
	Whole   bool
	Changes []Change
	// Log and Position name the place in the log to go on from.
	Log, Position uint64
	// Revision is the store's revision up to which the asker now knows every change.
	Revision uint64
	// Age is how long before this question arrived the one was sent to the store by which the answer holds; it is negative if
	// that was later.
	Age time.Duration
}

// Parts are what a relay works with.
type Parts struct {
	// Self is the ID of this instance, Place where it runs.
	Self  string
	Place roster.Place
	State *belief.State
	// Wait is how long a question waits for changes. It bounds how long a leader that has lost the store, or is gone, keeps
	// its followers from noticing.
	Wait time.Duration
	// Ask sends a question to the instance with a peer address.
	Ask    func(ctx context.Context, address string, q Question) (Answer, error)
	Logger *zap.Logger
}

// Relay knows the leader of this instance.
type Relay struct {
	Parts

	mu sync.Mutex
	// topics is keyed by name.
	topics map[string]*Topic
	// failed is the ID of the leader that failed last, avoidUntil when it is asked again.
	failed     string
	avoidUntil time.Time
	// followed is the ID of the leader that answered last; empty while this instance asks the store.
	followed string
}

// New returns a relay without topics.
func New(p Parts) *Relay { return &Relay{Parts: p, topics: map[string]*Topic{}} }

// Topic adds a topic; reachable reports whether the store answers this instance.
func (r *Relay) Topic(name string, reachable func() bool) *Topic {
	t := &Topic{name: name, relay: r, reachable: reachable, log: newLog()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics[name] = t
	return t
}

// Answer answers the question of a follower; it waits for changes.
func (r *Relay) Answer(ctx context.Context, q Question) Answer {
	r.mu.Lock()
	t, ok := r.topics[q.Topic]
	r.mu.Unlock()
	if !ok {
		return Answer{Lost: true}
	}
	bounded, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	return t.answer(bounded, q)
}

// Leader returns the instance through which this one should follow the store; false if it should ask the store.
// The instances of a failure domain have one order by hash, and each chooses one that comes before it: no circle of
// followers can arise, whatever they know of each other.
func (r *Relay) Leader() (roster.Instance, bool) {
	leaders, members := r.leaders()
	if len(leaders) == 0 || slices.Contains(leaders, r.Self) {
		return roster.Instance{}, false
	}
	found := members[rendezvous.Owners([]byte(r.Self), leaders, 1)[0]]
	r.mu.Lock()
	defer r.mu.Unlock()
	if found.ID == r.failed && time.Now().Before(r.avoidUntil) {
		return roster.Instance{}, false
	}
	return found, true
}

// Leads reports whether other instances follow the store through this one.
func (r *Relay) Leads() bool {
	leaders, members := r.leaders()
	return len(members) > 1 && slices.Contains(leaders, r.Self)
}

// leaders returns the IDs of the instances that ask the store for the failure domain, and its instances by ID. There are
// no leaders if this instance is not among those that are known.
func (r *Relay) leaders() ([]string, map[string]roster.Instance) {
	var ids []string
	members := map[string]roster.Instance{}
	for _, i := range r.State.View().Instances {
		if i.Place == r.Place && i.Peer != "" {
			ids = append(ids, i.ID)
			members[i.ID] = i
		}
	}
	if _, known := members[r.Self]; !known {
		return nil, members
	}
	return rendezvous.Owners([]byte(r.Place.FailureDomain), ids, (len(ids)+maxFollowers)/(maxFollowers+1)), members
}

// ask asks the leader, and notes when the way to the store changes.
func (r *Relay) ask(ctx context.Context, leader roster.Instance, q Question) (Answer, bool) {
	bounded, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
	defer cancel()
	answer, err := r.Ask(bounded, leader.Peer, q)
	if ctx.Err() != nil {
		return Answer{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || answer.Lost {
		if r.followed != "" || r.failed != leader.ID {
			r.Logger.Info("asking the store directly", zap.String(logging.FieldPeer, leader.ID), zap.String("topic", q.Topic),
				zap.Bool("leader-lost-store", answer.Lost), zap.Error(err))
		}
		r.followed, r.failed, r.avoidUntil = "", leader.ID, time.Now().Add(failurePause)
		return Answer{}, false
	}
	if r.followed != leader.ID {
		r.followed = leader.ID
		r.Logger.Info("following the store through another instance", zap.String(logging.FieldPeer, leader.ID))
	}
	return answer, true
}
