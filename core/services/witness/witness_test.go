package witness_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/belief"
	"medlarpond.dev/core/services/witness"
)

func TestContact(t *testing.T) {
	now := time.Hour
	c := witness.NewContact(func() time.Duration { return now })
	if c.Unbroken() != 0 || c.SinceBreak() < now {
		t.Errorf("without a response: got contact for %v and a break %v ago, want 0 and at least %v", c.Unbroken(), c.SinceBreak(), now)
	}
	for _, step := range []struct{ after, gap, unbroken, sinceBreak time.Duration }{
		{0, 0, 0, time.Hour},
		{time.Second, time.Second, time.Second, time.Hour + time.Second},
		{time.Second, time.Second, 2 * time.Second, time.Hour + 2*time.Second},
		{5 * time.Second, 5 * time.Second, 0, 5 * time.Second},
		{time.Second, time.Second, time.Second, 6 * time.Second},
	} {
		now += step.after
		if gap := c.Record(); gap != step.gap || c.Unbroken() != step.unbroken || c.SinceBreak() != step.sinceBreak {
			t.Errorf("at %v: got a gap of %v, contact for %v and a break %v ago; want %+v", now, gap, c.Unbroken(), c.SinceBreak(), step)
		}
	}
	now += 3 * time.Second
	if c.Unbroken() != 0 || c.SinceBreak() != 3*time.Second {
		t.Errorf("after silence: got contact for %v and a break %v ago, want 0 and 3s", c.Unbroken(), c.SinceBreak())
	}
}

func TestStoreWasReachable(t *testing.T) {
	answer := func(d time.Duration) func(context.Context) (time.Duration, error) {
		return func(context.Context) (time.Duration, error) { return d, nil }
	}
	failing := func(context.Context) (time.Duration, error) { return time.Hour, errors.New("connection refused") }
	silent := func(ctx context.Context) (time.Duration, error) {
		<-ctx.Done()
		return time.Hour, ctx.Err()
	}
	for name, c := range map[string]struct {
		peers map[string]func(context.Context) (time.Duration, error)
		want  bool
	}{
		"one of three had contact": {map[string]func(context.Context) (time.Duration, error){"a": answer(0), "b": silent, "c": answer(10 * time.Second)}, true},
		"contact too short":        {map[string]func(context.Context) (time.Duration, error){"a": answer(9 * time.Second)}, false},
		"nobody responds":          {map[string]func(context.Context) (time.Duration, error){"a": failing, "b": silent}, false},
		"no other instance":        {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := belief.New(zap.NewNop(), func() time.Duration { return 0 }, func([]roster.Instance) {})
				instances := []roster.Instance{{ID: "self", Peer: "self"}, {ID: "no-peer"}}
				for id := range c.peers {
					instances = append(instances, roster.Instance{ID: id, Peer: id})
				}
				state.SetInstances(instances)
				w := witness.New(witness.Config{
					Self: "self", State: state, Logger: zap.NewNop(),
					Ask: func(ctx context.Context, address string) (time.Duration, error) { return c.peers[address](ctx) },
				})
				started := time.Now()
				if got := w.StoreWasReachable(t.Context(), 10*time.Second); got != c.want {
					t.Errorf("got %t, want %t", got, c.want)
				}
				if took := time.Since(started); took > witness.Timeout {
					t.Errorf("the query took %v, want at most %v", took, witness.Timeout)
				}
				synctest.Wait()
			})
		})
	}
}
