// Package relay lets the instances of a failure domain follow the store through a leader, so that the number of calls
// to the store grows with the number of failure domains instead of instances.
//
// Every instance keeps the latest changes of each topic in a log. One of up to nine instances, chosen by rendezvous
// hashing, polls the store. The others poll its log, and fall back to the store as soon as the leader stops answering
// or reports that it has lost contact with the store.
package relay

import (
	"cmp"
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
	// callTimeout is the timeout of a poll in addition to its wait for changes. A large change takes that long on a
	// slow link.
	callTimeout = 400 * time.Millisecond
	// maxFollowers is the maximum average number of followers per leader. A leader sends every change to each of them: a
	// change of the intent has a few hundred kilobytes, and links carry 10 Mbit/s.
	maxFollowers = 8
	// followersPerCapacity is the average number of followers per leader and unit of its capacity, if that is more than
	// maxFollowers. A capacity of one stands for a link of 250 Mbit/s, so each follower has as much of it as of a small one.
	followersPerCapacity = 50
	// leaderRetryDelay is how long an instance polls the store directly after its leader has failed.
	leaderRetryDelay = 3 * time.Second
)

// PollRequest polls the changes of a topic. Its fields are encoded with gob and keep their names.
type PollRequest struct {
	Topic string
	// Log is the ID of the log to which Position refers; zero if only Revision applies.
	Log, Position uint64
	// Revision is the store's revision up to which the follower knows every change.
	Revision uint64
	// Wait is the longest time for which the leader waits for changes, if it is shorter than Config.Wait and not zero.
	Wait time.Duration
}

// PollResponse is the response to a PollRequest. Its fields are encoded with gob and keep their names.
type PollResponse struct {
	// Lost is true if the instance has lost contact with the store; the other fields are empty then.
	Lost bool
	// Whole is true if the log does not reach back far enough. Changes then holds all existing keys, and all other keys
	// are removed.
	Whole   bool
	Changes []Change
	// Log and Position identify the position in the log from which to continue.
	Log, Position uint64
	// Revision is the store's revision up to which the follower now knows every change.
	Revision uint64
	// Age is the time between sending the request to the store that confirmed this response and receiving this poll;
	// negative if the poll was received first.
	Age time.Duration
	// Unbroken is how long the instance has had contact with the store without a break.
	Unbroken time.Duration
}

// Config holds the dependencies and settings of a Relay.
type Config struct {
	// Self is the ID of this instance, Place its location.
	Self  string
	Place roster.Place
	State *belief.State
	// Wait is how long a poll waits for changes. It bounds how long followers do not notice that their leader has lost
	// contact with the store or has stopped.
	Wait time.Duration
	// Poll sends a poll to the instance with the given peer address.
	Poll   func(ctx context.Context, address string, q PollRequest) (PollResponse, error)
	Logger *zap.Logger
}

// Relay selects the leader of this instance and answers the polls of its followers. It is safe for concurrent use.
type Relay struct {
	Config

	mu sync.Mutex
	// topics is keyed by topic name.
	topics map[string]*Topic
	// failedLeader is the ID of the leader that failed last, retryLeaderAt when it is polled again.
	failedLeader  string
	retryLeaderAt time.Time
	// currentLeader is the ID of the leader that answered last; empty while this instance polls the store directly.
	currentLeader string
}

// New returns a Relay without topics.
func New(config Config) *Relay { return &Relay{Config: config, topics: map[string]*Topic{}} }

// AddTopic adds and returns a topic. reachable reports whether this instance can reach the store, unbroken for how long it
// has had contact without a break.
func (r *Relay) AddTopic(name string, reachable func() bool, unbroken func() time.Duration) *Topic {
	t := &Topic{name: name, relay: r, reachable: reachable, unbroken: unbroken, log: newLog()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics[name] = t
	return t
}

// HandlePoll handles the poll of a follower. It waits up to Wait for changes.
func (r *Relay) HandlePoll(ctx context.Context, request PollRequest) PollResponse {
	r.mu.Lock()
	t, ok := r.topics[request.Topic]
	r.mu.Unlock()
	if !ok {
		return PollResponse{Lost: true}
	}
	wait := r.Wait
	if request.Wait > 0 {
		wait = min(wait, request.Wait)
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return t.waitForChanges(waitCtx, request)
}

// Leader returns the leader that this instance should poll; false if it should poll the store directly. Rendezvous
// hashing ranks the instances of a failure domain, and an instance only follows one that ranks before it. Hence
// followers never form a cycle, even if instances know different sets of other instances.
func (r *Relay) Leader() (roster.Instance, bool) {
	leaders, members := r.leaders()
	if len(leaders) == 0 || slices.Contains(leaders, r.Self) {
		return roster.Instance{}, false
	}
	leader := members[rendezvous.Owners([]byte(r.Self), leaders, 1)[0]]
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.ID == r.failedLeader && time.Now().Before(r.retryLeaderAt) {
		return roster.Instance{}, false
	}
	return leader, true
}

// IsLeader reports whether other instances may follow the store through this one.
func (r *Relay) IsLeader() bool {
	leaders, members := r.leaders()
	return len(members) > 1 && slices.Contains(leaders, r.Self)
}

// leaders returns the IDs of the instances that poll the store for the failure domain, and all instances of the domain
// by ID. There are no leaders if this instance itself is not registered.
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
	return r.selectLeaders(ids, members), members
}

// selectLeaders returns the leaders of a failure domain: the instances with the largest capacity, among equal ones those that
// rendezvous hashing ranks first, and as many as can serve all others. The order in which instances rank does not depend on
// which of them are known, so that followers never form a cycle.
func (r *Relay) selectLeaders(ids []string, members map[string]roster.Instance) []string {
	ranked := rendezvous.Owners([]byte(r.Place.FailureDomain), ids, len(ids))
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(members[b].Capacity, members[a].Capacity) })
	served := 0
	for n, id := range ranked {
		served += 1 + max(maxFollowers, int(followersPerCapacity*members[id].Capacity))
		if served >= len(ranked) {
			return ranked[:n+1]
		}
	}
	return ranked
}

// firstOther returns the first-ranked instance of the failure domain besides this one; false if there is none. registered is
// true if this instance is registered.
func (r *Relay) firstOther() (first roster.Instance, registered, ok bool) {
	var ids []string
	members := map[string]roster.Instance{}
	for _, i := range r.State.View().Instances {
		registered = registered || i.ID == r.Self
		if i.Place == r.Place && i.Peer != "" && i.ID != r.Self {
			ids = append(ids, i.ID)
			members[i.ID] = i
		}
	}
	if len(ids) == 0 {
		return roster.Instance{}, registered, false
	}
	first = members[r.selectLeaders(ids, members)[0]]
	r.mu.Lock()
	defer r.mu.Unlock()
	return first, registered, first.ID != r.failedLeader || !time.Now().Before(r.retryLeaderAt)
}

// pollLeader polls the leader, and logs when this instance switches between the leader and the store.
func (r *Relay) pollLeader(ctx context.Context, leader roster.Instance, request PollRequest) (PollResponse, bool) {
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
	defer cancel()
	response, err := r.Poll(callCtx, leader.Peer, request)
	if ctx.Err() != nil {
		return PollResponse{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || response.Lost {
		if r.currentLeader != "" || r.failedLeader != leader.ID {
			r.Logger.Info("leader failed; polling the store directly", zap.String(logging.FieldPeer, leader.ID),
				zap.String("topic", request.Topic), zap.Bool("leader-lost-store", response.Lost), zap.Error(err))
		}
		r.currentLeader, r.failedLeader, r.retryLeaderAt = "", leader.ID, time.Now().Add(leaderRetryDelay)
		return PollResponse{}, false
	}
	if r.currentLeader != leader.ID {
		r.currentLeader = leader.ID
		r.Logger.Info("following the store through a leader", zap.String(logging.FieldPeer, leader.ID))
	}
	return response, true
}
