package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/placement"
)

// TestRoomIn guards against refusals that tell callers to come back before or long after a target has room, for each reason for
// which a target is not used now.
func TestRoomIn(t *testing.T) {
	const work = 200 * time.Millisecond // the initial processing time for an object that is warm
	for name, c := range map[string]struct {
		running  int
		timeLeft time.Duration
		fill     func(f *fixture, l *placement.LoadTracker, target roster.Target)
		want     time.Duration
	}{
		"full by two requests": {running: 10, timeLeft: time.Second, want: 2 * work / 3},
		"queue too long":       {running: 8, timeLeft: work, want: 6 * work / 3},
		"ejected": {fill: func(_ *fixture, l *placement.LoadTracker, target roster.Target) {
			answer(l, target, placement.OutcomeUnreachable, placement.Hints{})
		}, want: time.Second},
		"limited, not an owner": {fill: func(f *fixture, l *placement.LoadTracker, target roster.Target) {
			f.state.SetInstances([]roster.Instance{{ID: "b", Place: east1}})
			answer(l, target, placement.OutcomeAnswered, placement.Hints{Limit: placement.LimitNamed, LimitRate: 1})
		}, want: 5 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.addTargets(1, east1)
			p, l := f.newPlacement("a", east1)
			for range c.running {
				l.Begin(f.targets["east-1-0"])
			}
			if c.fill != nil {
				c.fill(f, l, f.targets["east-1-0"])
			}
			q := query("x")
			q.TimeLeft = c.timeLeft
			if _, rejected, ok := p.Choose(q); ok || (rejected.RoomIn-c.want).Abs() > time.Millisecond {
				t.Errorf("%s: got room in %v (target found: %v), want %v", name, rejected.RoomIn, ok, c.want)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0.8, east1)
		f.run(20*time.Millisecond, always)
		if _, rejected, ok := f.placements[0].Choose(query("x")); ok || (rejected.RoomIn-1230*time.Millisecond).Abs() > time.Millisecond {
			t.Errorf("cold target: got room in %v (target found: %v), want 1.23 s", rejected.RoomIn, ok)
		}
	})
}
