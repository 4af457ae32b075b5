package ratepool

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/intent"
)

// TestBucketCountsTheSmallerPart guards against tokens that accrue for a part which the node has lost, or did not have yet, since it last
// looked at the bucket.
func TestBucketCountsTheSmallerPart(t *testing.T) {
	for name, c := range map[string]struct{ before, after, wantLevel float64 }{
		"gained": {0.1, 1, 1},
		"lost":   {1, 0.1, 1},
		"kept":   {0.5, 0.5, 5},
	} {
		b := bucket{limits: limits{rate: 10, size: 100}, part: c.before}
		b.setPart(time.Second, c.after)
		if b.level < c.wantLevel-0.001 || b.level > c.wantLevel+0.001 {
			t.Errorf("%s: got a level of %.2f, want %.2f", name, b.level, c.wantLevel)
		}
	}
	b := bucket{limits: limits{rate: 10, size: 100}, part: 1, level: 100}
	b.setPart(0, 0.5)
	if got := b.take(0, 1000); got != 50 {
		t.Errorf("got %d tokens after half of the part was lost, want 50", got)
	}
}

// TestLeaseIgnoresStampsOfOthers guards against delegations that are dated by another clock: a restarted parent must not believe stamps of
// the process before it, and an older message must not replace a newer one.
func TestLeaseIgnoresStampsOfOthers(t *testing.T) {
	message := func(change func(r *Request)) Request {
		r := Request{
			From: "x", Incarnation: 1, Sequence: 5, Stamp: 9 * time.Second, StampIncarnation: 7,
			Shares: []Share{{Members: 2, Instances: 10, ValidFor: time.Hour}},
		}
		change(&r)
		return r
	}
	for name, c := range map[string]struct {
		change func(r *Request)
		want   int
	}{
		"current":                       {func(*Request) {}, 2},
		"stamp of an earlier process":   {func(r *Request) { r.StampIncarnation = 6 }, 1},
		"stamp of over a second ago":    {func(r *Request) { r.Stamp = 8400 * time.Millisecond }, 1},
		"stamp from the future":         {func(r *Request) { r.Stamp = time.Minute }, 1},
		"older than the latest message": {func(r *Request) { r.Sequence = 3 }, 1},
		"more members than instances":   {func(r *Request) { r.Shares[0].Members = 11 }, 1},
	} {
		var leases leaseTable
		leases.accept(9*time.Second, 7, message(func(r *Request) {
			r.Sequence = 4
			r.Shares[0].Members = 1
		}))
		leases.accept(9500*time.Millisecond, 7, message(c.change))
		if got := leases.sum().members[rule{instances: 10}]; got != c.want {
			t.Errorf("%s: got %d members, want %d", name, got, c.want)
		}
		if leases.expire(9999 * time.Millisecond); leases.sum().members[rule{instances: 10}] != c.want {
			t.Errorf("%s: the delegation has ended before a second after its stamp", name)
		}
		if leases.expire(10 * time.Second); len(leases.leases) > 0 {
			t.Errorf("%s: the delegation holds for more than a second after its stamp", name)
		}
	}
}

// TestLateTokensAreDropped guards against tokens that are used longer after they have been taken than the size of the bucket allows for.
func TestLateTokensAreDropped(t *testing.T) {
	for _, c := range []struct {
		delay time.Duration
		want  int
	}{{80 * time.Millisecond, 1}, {160 * time.Millisecond, 0}} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			n := newNode(Policy{Enabled: true, Window: 5 * time.Second}, "x", 1, func() time.Duration { return time.Since(start) })
			n.tokenTTL = memberTokenTTL
			n.send = func(_ context.Context, _ Parent, r Request) (Reply, error) {
				time.Sleep(c.delay)
				return Reply{Incarnation: 2, Grants: r.Wants}, nil
			}
			n.setTeams(map[string]intent.Team{"t": {Name: "t", Rate: 10, Burst: 10}})
			n.setParents([]Parent{{ID: "p", Address: "p"}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go n.run(ctx)
			got, _ := n.acquire(ctx, map[string]int{"t": 1}, time.Second)
			if len(got["t"].tokens) != c.want {
				t.Errorf("got %d tokens from a reply after %v, want %d", len(got["t"].tokens), c.delay, c.want)
			}
		})
	}
}

// TestRuleOfPooling guards against pooling in fleets that are small or alike, which are served by the equal split.
func TestRuleOfPooling(t *testing.T) {
	p := Policy{Enabled: true, MinPart: 4, Window: 5 * time.Second, Overrun: 0.07, Slack: 14}
	small, large := p.limitsOf(intent.Team{Rate: 5, Burst: 5}, 0), p.limitsOf(intent.Team{Rate: 500, Burst: 500}, 0)
	disabled := p
	disabled.Enabled = false
	for name, c := range map[string]struct {
		policy Policy
		limits limits
		rule   rule
		want   bool
	}{
		"small team, small fleet":       {p, small, rule{instances: 7}, false},
		"small team, large fleet":       {p, small, rule{instances: 36}, true},
		"large team, large fleet":       {p, large, rule{instances: 36}, false},
		"large team, callers at few":    {p, large, rule{instances: 36, all: true}, true},
		"small team, one instance":      {p, small, rule{instances: 1, all: true}, false},
		"small team, unknown instances": {p, small, rule{}, false},
		"disabled":                      {disabled, small, rule{instances: 36, all: true}, false},
	} {
		if got := c.policy.pools(c.limits, c.rule); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestIdleMessageIsSmall guards against renewals that grow with the number of teams or instances: every instance sends four a second.
func TestIdleMessageIsSmall(t *testing.T) {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	r := Request{
		From: "front-east-fairbanks-017", Incarnation: 1 << 63, Sequence: 1 << 20, ToRoot: true, Stamp: 1 << 50, StampIncarnation: 1 << 63,
		Wants: map[string]int{},
	}
	for n := range 6 {
		r.Shares = append(r.Shares, Share{Members: 10, Instances: 3100, All: true, ValidFor: time.Second - time.Duration(n)*validityStep})
	}
	size := 0
	// The first message of a connection has the description of the types as well.
	for range 2 {
		b.Reset()
		if err := e.Encode(rpc.Request{ServiceMethod: "rates.Draw", Seq: 1 << 20}); err != nil {
			t.Fatal(err)
		}
		if err := e.Encode(r); err != nil {
			t.Fatal(err)
		}
		size = b.Len()
	}
	if size > 200 {
		t.Errorf("a message of a domain collector has %d bytes, want at most 200", size)
	}
	t.Logf("%d bytes", size)
}
