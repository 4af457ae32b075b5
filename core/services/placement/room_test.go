package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// TestRoomIn guards against refusals that tell callers to come back before or long after a target has room, for each reason for
// which a target is not used now.
func TestRoomIn(t *testing.T) {
	const work = 200 * time.Millisecond // the initial processing time for an object that is warm
	for name, c := range map[string]struct {
		fill  func(f *fixture, p *placement.Placement, l *placement.LoadTracker, target roster.Target)
		query func(q *placement.Query)
		want  time.Duration
	}{
		"full by two requests": {
			fill: func(_ *fixture, _ *placement.Placement, l *placement.LoadTracker, target roster.Target) {
				for range 10 {
					l.Begin(target)
				}
			},
			want: 2 * work / 3,
		},
		"queue too long for the deadline": {
			fill: func(_ *fixture, _ *placement.Placement, l *placement.LoadTracker, target roster.Target) {
				for range 8 {
					l.Begin(target)
				}
			},
			query: func(q *placement.Query) { q.TimeLeft = 300 * time.Millisecond },
			want:  work + 6*work/3 - 300*time.Millisecond,
		},
		"ejected": {
			fill: func(_ *fixture, _ *placement.Placement, l *placement.LoadTracker, target roster.Target) {
				l.Begin(target)
				l.End(placement.Attempt{Target: target, Outcome: placement.OutcomeUnreachable})
			},
			want: time.Second,
		},
		"cold, this instance is its owner": {
			fill: func(f *fixture, p *placement.Placement, l *placement.LoadTracker, target roster.Target) {
				i, err := intent.New(intent.Content{Version: 1, Services: []intent.Service{{Name: "orders", ColdRate: 0.8}}})
				if err != nil {
					t.Fatal(err)
				}
				f.state.SetIntent(i, 1)
				f.state.SetInstances([]roster.Instance{{ID: "a", Place: east1}})
				target.ColdUntil = time.Now().Add(time.Minute)
				f.updateTargets(target)
				choose(t, p, l, query("x"))
			},
			want: 1250 * time.Millisecond,
		},
		"limited, this instance is not its owner": {
			fill: func(f *fixture, _ *placement.Placement, l *placement.LoadTracker, target roster.Target) {
				f.state.SetInstances([]roster.Instance{{ID: "b", Place: east1}})
				answer(l, target, placement.OutcomeAnswered, placement.Hints{Limit: placement.LimitNamed, LimitRate: 1})
			},
			want: 5 * time.Second,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.addTargets(1, east1)
			p, l := f.newPlacement("a", east1)
			c.fill(f, p, l, f.targets["east-1-0"])
			q := query("x")
			if c.query != nil {
				c.query(&q)
			}
			choice, rejected, ok := p.Choose(q)
			if ok {
				t.Fatalf("%s: got %+v, want no target", name, choice)
			}
			if difference := rejected.RoomIn - c.want; difference.Abs() > time.Millisecond {
				t.Errorf("%s: got room in %v, want %v", name, rejected.RoomIn, c.want)
			}
		})
	}
}
