package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/relay"
)

var here = roster.Place{Region: "east", FailureDomain: "east-1"}

const wait = 250 * time.Millisecond

// instance is an instance of a failure domain that answers polls of the others by direct calls.
type instance struct {
	id    string
	state *belief.State
	relay *relay.Relay
	topic *relay.Topic

	mu               sync.Mutex
	storeUnreachable bool
	unresponsive     bool
}

// testDomain is a failure domain with instances that all know each other, by ID.
type testDomain map[string]*instance

func newTestDomain(ids ...string) testDomain {
	d := testDomain{}
	var instances []roster.Instance
	for _, id := range ids {
		instances = append(instances, roster.Instance{ID: id, Place: here, Peer: id})
	}
	for _, id := range ids {
		m := &instance{id: id, state: belief.New(zap.NewNop(), boottime.Now, func([]roster.Instance) {})}
		m.relay = relay.New(relay.Config{Self: id, Place: here, State: m.state, Logger: zap.NewNop(), Poll: d.poll, Wait: wait})
		m.topic = m.relay.AddTopic("things", func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return !m.storeUnreachable
		}, func() time.Duration { return 0 })
		m.state.SetInstances(append([]roster.Instance(nil), instances...))
		d[id] = m
	}
	return d
}

func (d testDomain) poll(ctx context.Context, address string, request relay.PollRequest) (relay.PollResponse, error) {
	m := d[address]
	m.mu.Lock()
	unresponsive := m.unresponsive
	m.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return relay.PollResponse{}, errors.New("no answer")
	}
	return m.relay.HandlePoll(ctx, request), nil
}

func (m *instance) setFaults(storeUnreachable, unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeUnreachable, m.unresponsive = storeUnreachable, unresponsive
}

// leaderAndFollower returns the leader and one of its followers; nil if there is none.
func (d testDomain) leaderAndFollower() (leader, follower *instance) {
	for _, m := range d {
		if m.relay.IsLeader() {
			leader = m
		} else {
			follower = m
		}
	}
	return leader, follower
}

func change(key string, revision uint64) relay.Change {
	return relay.Change{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func TestInstancesAgreeOnLeader(t *testing.T) {
	d := newTestDomain("a", "b", "c", "d")
	leader, _ := d.leaderAndFollower()
	for id, m := range d {
		chosen, ok := m.relay.Leader()
		if ok != (id != leader.id) || (ok && chosen.ID != leader.id) {
			t.Errorf("instance %s: got leader %q, %t; want %s", id, chosen.ID, ok, leader.id)
		}
	}
}

// TestFollowersPerLeaderAreBounded checks the number of leaders and of followers per leader in failure domains of
// several sizes.
func TestFollowersPerLeaderAreBounded(t *testing.T) {
	for _, n := range []int{2, 9, 10, 34, 65} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprint("i-", i))
		}
		d := newTestDomain(ids...)
		followers := map[string]int{}
		leaders := 0
		for _, m := range d {
			if chosen, ok := m.relay.Leader(); ok {
				followers[chosen.ID]++
				if !d[chosen.ID].relay.IsLeader() {
					t.Errorf("with %d instances: %s follows %s, which is not a leader", n, m.id, chosen.ID)
				}
				continue
			}
			leaders++
		}
		if want := (n + 8) / 9; leaders != want {
			t.Errorf("with %d instances: got %d leaders, want %d", n, leaders, want)
		}
		for id, count := range followers {
			// Hashing distributes followers unevenly, so allow twice maxFollowers.
			if count > 2*8 {
				t.Errorf("with %d instances: got %d followers of %s, want at most 16", n, count, id)
			}
		}
	}
}

// TestInstanceWithoutLeader checks cases in which an instance must poll the store directly.
func TestInstanceWithoutLeader(t *testing.T) {
	other := roster.Place{Region: "east", FailureDomain: "east-2"}
	for name, instances := range map[string][]roster.Instance{
		"not registered":                   {{ID: "b", Place: here, Peer: "b"}},
		"only instance":                    {{ID: "a", Place: here, Peer: "a"}},
		"others in another failure domain": {{ID: "a", Place: here, Peer: "a"}, {ID: "b", Place: other, Peer: "b"}},
		"other address missing":            {{ID: "a", Place: here, Peer: "a"}, {ID: "b", Place: here}},
		"no instance known":                nil,
		"own address missing":              {{ID: "a", Place: here}, {ID: "b", Place: here, Peer: "b"}},
	} {
		m := newTestDomain("a")["a"]
		m.state.SetInstances(instances)
		if leader, ok := m.relay.Leader(); ok {
			t.Errorf("%s: got leader %s, want none", name, leader.ID)
		}
		if m.relay.IsLeader() {
			t.Errorf("%s: IsLeader returned true, want false", name)
		}
	}
}

// TestFollowersNeverFormACycle checks that instances that know different sets of other instances never follow each
// other in a cycle.
func TestFollowersNeverFormACycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		d := newTestDomain(ids...)
		for _, id := range ids {
			var known []roster.Instance
			for _, other := range ids {
				if other == id || rapid.Bool().Draw(t, id+" knows "+other) {
					known = append(known, roster.Instance{ID: other, Place: here, Peer: other})
				}
			}
			d[id].state.SetInstances(known)
		}
		for _, id := range ids {
			current := id
			for steps := 0; ; steps++ {
				leader, ok := d[current].relay.Leader()
				if !ok {
					break
				}
				if steps == len(ids) {
					t.Fatalf("leaders form a cycle, starting from %s", id)
				}
				current = leader.ID
			}
		}
	})
}

func TestFollowerReceivesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, follower := newTestDomain("a", "b", "c").leaderAndFollower()
		leader.topic.Append(change("old", 5))
		leader.topic.Confirm(boottime.Now(), 10)
		started := time.Now()
		response, ok := follower.topic.Poll(t.Context(), 10)
		if !ok || len(response.Changes) != 0 || response.Revision != 10 {
			t.Fatalf("poll without changes: got %+v, %t; want no changes and revision 10", response, ok)
		}
		if took := time.Since(started); took != wait {
			t.Errorf("poll without changes took %v, want %v", took, wait)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			leader.topic.Append(change("x", 11))
			leader.topic.Append(change("late", 9))
			leader.topic.Confirm(boottime.Now(), 11)
		}()
		started = time.Now()
		response, ok = follower.topic.Poll(t.Context(), 10)
		if took := time.Since(started); !ok || took > 150*time.Millisecond {
			t.Errorf("a change made after 100 ms reached the follower after %v, want at most 150ms", took)
		}
		got := len(response.Changes)
		for range 2 {
			response, ok = follower.topic.Poll(t.Context(), response.Revision)
			got += len(response.Changes)
		}
		if !ok || got != 2 || response.Revision != 11 {
			t.Errorf("got %d changes up to revision %d, want 2 up to 11, including the late one with the lower revision", got, response.Revision)
		}
	})
}

// TestFollowerFallsBackToStore checks cases in which the leader cannot answer: the follower notices in time, and polls
// the leader again later.
func TestFollowerFallsBackToStore(t *testing.T) {
	for name, x := range map[string]struct {
		prepare  func(leader *instance)
		revision uint64
	}{
		"the leader is not confirmed":                {prepare: func(*instance) {}},
		"the leader has lost contact with the store": {prepare: func(m *instance) { m.topic.Confirm(1, 10); m.setFaults(true, false) }, revision: 10},
		"the leader does not answer":                 {prepare: func(m *instance) { m.topic.Confirm(1, 10); m.setFaults(false, true) }, revision: 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			leader, follower := newTestDomain("a", "b").leaderAndFollower()
			x.prepare(leader)
			started := time.Now()
			if response, ok := follower.topic.Poll(t.Context(), x.revision); ok {
				t.Fatalf("%s: got %+v, want no response", name, response)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("%s: noticed after %v, want at most 1s", name, took)
			}
			if follower.topic.HasLeader() {
				t.Errorf("%s: the leader is polled again immediately", name)
			}
			leader.setFaults(false, false)
			time.Sleep(5 * time.Second)
			if !follower.topic.HasLeader() {
				t.Errorf("%s: the leader is not polled again after 5 s", name)
			}
		})
	}
}

// TestCompactedLogSendsWholeTopic polls from a revision that the leader's log no longer covers.
func TestCompactedLogSendsWholeTopic(t *testing.T) {
	for name, prepare := range map[string]func(m *instance){
		"the log begins later": func(m *instance) {
			m.topic.Append(change("x", 8))
			m.topic.Confirm(1, 10)
		},
		"the log was compacted": func(m *instance) {
			m.topic.Confirm(1, 4)
			m.topic.Append(change("x", 8))
			m.topic.Append(change("y", 9))
			m.topic.Append(relay.Change{Key: "y", Revision: 10, Removed: true})
			for n := range uint64(3) {
				c := change("big", 11+n)
				c.Value = make([]byte, 1<<20)
				m.topic.Append(c)
			}
			m.topic.Append(relay.Change{Key: "big", Revision: 14, Removed: true})
		},
	} {
		leader, follower := newTestDomain("a", "b").leaderAndFollower()
		prepare(leader)
		response, ok := follower.topic.Poll(t.Context(), 5)
		if !ok || !response.Whole || len(response.Changes) != 1 || response.Changes[0].Key != "x" {
			t.Errorf("%s: got %+v, %t; want the whole topic, which is x", name, response, ok)
		}
		response, ok = follower.topic.Poll(t.Context(), response.Revision)
		if !ok || response.Whole || len(response.Changes) != 0 {
			t.Errorf("%s: next poll: got %+v, %t; want no changes", name, response, ok)
		}
	}
}

// TestAgeCountsFromStoreRequest checks that the age of a response counts from when the store was asked, not from when
// it answered.
func TestAgeCountsFromStoreRequest(t *testing.T) {
	leader, follower := newTestDomain("a", "b").leaderAndFollower()
	leader.topic.Confirm(boottime.Now()-2*time.Second, 10)
	response, ok := follower.topic.Poll(t.Context(), 10)
	if !ok || response.Age < 2*time.Second || response.Age > 3*time.Second {
		t.Errorf("got age %v, %t; want 2s to 3s", response.Age, ok)
	}
}

// TestFollowerConvergesToLeader checks that a follower that polls at any points gets every change, even if changes
// arrive out of the order of their revisions.
func TestFollowerConvergesToLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, _ := newTestDomain("a", "b").leaderAndFollower()
		leaderRevisions := map[string]uint64{}
		record := func(into map[string]uint64, c relay.Change) {
			into[c.Key] = max(into[c.Key], c.Revision)
		}
		confirmedRevision, revision := uint64(10), uint64(10)
		leader.topic.Confirm(1, confirmedRevision)
		followerRevisions, followerRevision := map[string]uint64{}, uint64(10)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				revision++
				c := change(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"), revision)
				if rapid.Bool().Draw(t, "one before it is late") {
					revision++
					later := change("w", revision)
					record(leaderRevisions, later)
					leader.topic.Append(later)
				}
				record(leaderRevisions, c)
				leader.topic.Append(c)
				confirmedRevision = revision
			}
			leader.topic.Confirm(1, confirmedRevision)
			if rapid.Bool().Draw(t, "ask") && len(leaderRevisions) > 0 {
				response := leader.relay.HandlePoll(canceledContext, relay.PollRequest{Topic: "things", Revision: followerRevision})
				for _, c := range response.Changes {
					record(followerRevisions, c)
				}
				followerRevision = response.Revision
			}
		}
		response := leader.relay.HandlePoll(canceledContext, relay.PollRequest{Topic: "things", Revision: followerRevision})
		for _, c := range response.Changes {
			record(followerRevisions, c)
		}
		if fmt.Sprint(followerRevisions) != fmt.Sprint(leaderRevisions) {
			t.Fatalf("got revisions %v at the follower, want %v", followerRevisions, leaderRevisions)
		}
	})
}

// canceledContext makes a poll return without waiting.
var canceledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()
