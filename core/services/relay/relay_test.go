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

// member is an instance of a failure domain whose questions reach the others directly.
type member struct {
	id    string
	state *belief.State
	relay *relay.Relay
	topic *relay.Topic

	mu          sync.Mutex
	unreachable bool
	silent      bool
}

// domain is a failure domain with some instances that all know each other.
type domain map[string]*member

func newDomain(ids ...string) domain {
	d := domain{}
	var instances []roster.Instance
	for _, id := range ids {
		instances = append(instances, roster.Instance{ID: id, Place: here, Peer: id})
	}
	for _, id := range ids {
		m := &member{id: id, state: belief.New(zap.NewNop(), func(int) {})}
		m.relay = relay.New(relay.Parts{Self: id, Place: here, State: m.state, Logger: zap.NewNop(), Ask: d.ask, Wait: wait})
		m.topic = m.relay.Topic("things", func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return !m.unreachable
		})
		m.state.SetInstances(append([]roster.Instance(nil), instances...))
		d[id] = m
	}
	return d
}

func (d domain) ask(ctx context.Context, address string, q relay.Question) (relay.Answer, error) {
	m := d[address]
	m.mu.Lock()
	silent := m.silent
	m.mu.Unlock()
	if silent {
		<-ctx.Done()
		return relay.Answer{}, errors.New("no answer")
	}
	return m.relay.Answer(ctx, q), nil
}

func (m *member) set(unreachable, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable, m.silent = unreachable, silent
}

// roles returns the leader and one of its followers; nil if there is none.
func (d domain) roles() (leader, follower *member) {
	for _, m := range d {
		if m.relay.Leads() {
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

func TestOneLeaderForAll(t *testing.T) {
	d := newDomain("a", "b", "c", "d")
	leader, _ := d.roles()
	for id, m := range d {
		chosen, ok := m.relay.Leader()
		if ok != (id != leader.id) || (ok && chosen.ID != leader.id) {
			t.Errorf("%s follows %q (%t), want %s", id, chosen.ID, ok, leader.id)
		}
	}
}

// TestLeadersOfALargeFailureDomain checks that no leader has too many followers.
func TestLeadersOfALargeFailureDomain(t *testing.T) {
	for _, n := range []int{2, 9, 10, 34, 65} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprint("i-", i))
		}
		d := newDomain(ids...)
		followers := map[string]int{}
		leaders := 0
		for _, m := range d {
			if chosen, ok := m.relay.Leader(); ok {
				followers[chosen.ID]++
				if !d[chosen.ID].relay.Leads() {
					t.Errorf("of %d instances %s follows %s, which follows another", n, m.id, chosen.ID)
				}
				continue
			}
			leaders++
		}
		if want := (n + 8) / 9; leaders != want {
			t.Errorf("of %d instances %d ask the store, want %d", n, leaders, want)
		}
		for id, count := range followers {
			// Hashing spreads followers unevenly.
			if count > 2*8 {
				t.Errorf("of %d instances %d follow %s", n, count, id)
			}
		}
	}
}

// TestNoLeaderForOutsiders checks the instances that have to ask the store.
func TestNoLeaderForOutsiders(t *testing.T) {
	other := roster.Place{Region: "east", FailureDomain: "east-2"}
	for name, instances := range map[string][]roster.Instance{
		"not registered":      {{ID: "b", Place: here, Peer: "b"}},
		"alone":               {{ID: "a", Place: here, Peer: "a"}},
		"others elsewhere":    {{ID: "a", Place: here, Peer: "a"}, {ID: "b", Place: other, Peer: "b"}},
		"without an address":  {{ID: "a", Place: here, Peer: "a"}, {ID: "b", Place: here}},
		"no instance at all":  nil,
		"itself has no place": {{ID: "a", Place: here}, {ID: "b", Place: here, Peer: "b"}},
	} {
		m := newDomain("a")["a"]
		m.state.SetInstances(instances)
		if leader, ok := m.relay.Leader(); ok {
			t.Errorf("%s: follows %s", name, leader.ID)
		}
		if m.relay.Leads() {
			t.Errorf("%s: leads", name)
		}
	}
}

// TestFollowersNeverFormACircle lets instances that know different sets of others choose.
func TestFollowersNeverFormACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		d := newDomain(ids...)
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
			at := id
			for steps := 0; ; steps++ {
				leader, ok := d[at].relay.Leader()
				if !ok {
					break
				}
				if steps == len(ids) {
					t.Fatalf("from %s the leaders form a circle", id)
				}
				at = leader.ID
			}
		}
	})
}

func TestChangesReachFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, follower := newDomain("a", "b", "c").roles()
		leader.topic.Append(change("old", 5))
		leader.topic.Confirm(boottime.Now(), 10)
		began := time.Now()
		answer, ok := follower.topic.Follow(t.Context(), 10)
		if !ok || len(answer.Changes) != 0 || answer.Revision != 10 {
			t.Fatalf("an answer without news is %+v, %t", answer, ok)
		}
		if took := time.Since(began); took != wait {
			t.Errorf("a question without news took %v, want %v", took, wait)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			leader.topic.Append(change("x", 11))
			leader.topic.Append(change("late", 9))
			leader.topic.Confirm(boottime.Now(), 11)
		}()
		began = time.Now()
		answer, ok = follower.topic.Follow(t.Context(), 10)
		if took := time.Since(began); !ok || took > 150*time.Millisecond {
			t.Errorf("a change after 100 ms reached the follower after %v", took)
		}
		got := len(answer.Changes)
		for range 2 {
			answer, ok = follower.topic.Follow(t.Context(), answer.Revision)
			got += len(answer.Changes)
		}
		if !ok || got != 2 || answer.Revision != 11 {
			t.Errorf("%d changes arrived up to revision %d, want both up to 11, that with the lower revision too", got, answer.Revision)
		}
	})
}

// TestWhatAFollowerMustAskTheStore lists what a leader cannot answer.
func TestWhatAFollowerMustAskTheStore(t *testing.T) {
	for name, x := range map[string]struct {
		prepare  func(leader *member)
		revision uint64
	}{
		"the leader knows nothing":      {prepare: func(*member) {}},
		"the leader has lost the store": {prepare: func(m *member) { m.topic.Confirm(1, 10); m.set(true, false) }, revision: 10},
		"the leader is silent":          {prepare: func(m *member) { m.topic.Confirm(1, 10); m.set(false, true) }, revision: 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			leader, follower := newDomain("a", "b").roles()
			x.prepare(leader)
			began := time.Now()
			if answer, ok := follower.topic.Follow(t.Context(), x.revision); ok {
				t.Fatalf("%s: answer %+v", name, answer)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("%s: noticed after %v", name, took)
			}
			if follower.topic.Relayed() {
				t.Errorf("%s: the leader is asked again at once", name)
			}
			leader.set(false, false)
			time.Sleep(5 * time.Second)
			if !follower.topic.Relayed() {
				t.Errorf("%s: the leader is never asked again", name)
			}
		})
	}
}

// TestWholeTopic asks for more than a log holds.
func TestWholeTopic(t *testing.T) {
	for name, prepare := range map[string]func(m *member){
		"the log begins later": func(m *member) {
			m.topic.Append(change("x", 8))
			m.topic.Confirm(1, 10)
		},
		"the log was cut": func(m *member) {
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
		leader, follower := newDomain("a", "b").roles()
		prepare(leader)
		answer, ok := follower.topic.Follow(t.Context(), 5)
		if !ok || !answer.Whole || len(answer.Changes) != 1 || answer.Changes[0].Key != "x" {
			t.Errorf("%s: answer %+v, %t, want all of the topic, which is x", name, answer, ok)
		}
		answer, ok = follower.topic.Follow(t.Context(), answer.Revision)
		if !ok || answer.Whole || len(answer.Changes) != 0 {
			t.Errorf("%s: then %+v, %t, want nothing", name, answer, ok)
		}
	}
}

// TestAgeCountsFromTheQuestionToTheStore checks how old an answer says that it is.
func TestAgeCountsFromTheQuestionToTheStore(t *testing.T) {
	leader, follower := newDomain("a", "b").roles()
	leader.topic.Confirm(boottime.Now()-2*time.Second, 10)
	answer, ok := follower.topic.Follow(t.Context(), 10)
	if !ok || answer.Age < 2*time.Second || answer.Age > 3*time.Second {
		t.Errorf("age %v, %t, want somewhat over 2s", answer.Age, ok)
	}
}

// TestFollowersEndWithWhatTheLeaderKnows sends changes in any order of revisions, and lets a follower join and change its
// leader's log at any point.
func TestFollowersEndWithWhatTheLeaderKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, _ := newDomain("a", "b").roles()
		known := map[string]uint64{}
		take := func(into map[string]uint64, c relay.Change) {
			into[c.Key] = max(into[c.Key], c.Revision)
		}
		complete, revision := uint64(10), uint64(10)
		leader.topic.Confirm(1, complete)
		copied, at := map[string]uint64{}, uint64(10)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				revision++
				c := change(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"), revision)
				if rapid.Bool().Draw(t, "one before it is late") {
					revision++
					later := change("w", revision)
					take(known, later)
					leader.topic.Append(later)
				}
				take(known, c)
				leader.topic.Append(c)
				complete = revision
			}
			leader.topic.Confirm(1, complete)
			if rapid.Bool().Draw(t, "ask") && len(known) > 0 {
				a := leader.relay.Answer(done, relay.Question{Topic: "things", Revision: at})
				for _, c := range a.Changes {
					take(copied, c)
				}
				at = a.Revision
			}
		}
		a := leader.relay.Answer(done, relay.Question{Topic: "things", Revision: at})
		for _, c := range a.Changes {
			take(copied, c)
		}
		if fmt.Sprint(copied) != fmt.Sprint(known) {
			t.Fatalf("the follower knows %v, the leader %v", copied, known)
		}
	})
}

// done is a context that has ended, so that a question does not wait.
var done = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()
