package belief_test

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/services/belief"
)

func newState() *belief.State {
	return belief.New(zap.NewNop(), boottime.Now, func([]roster.Instance) {})
}

func intentVersion(t *testing.T, v uint64) *intent.Intent {
	t.Helper()
	i, err := intent.New(intent.Content{Version: v})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func TestOlderIntentIsIgnored(t *testing.T) {
	s := newState()
	for _, step := range []struct {
		version, revision uint64
		want              uint64
	}{
		{5, 10, 5},
		{5, 10, 5},
		{4, 9, 5},
		{4, 11, 5},
		{7, 9, 5},
		{9, 12, 9},
	} {
		s.SetIntent(intentVersion(t, step.version), step.revision)
		if got := s.View().Intent.Version; got != step.want {
			t.Errorf("after setting version %d at revision %d: got version %d, want %d", step.version, step.revision, got, step.want)
		}
	}
}

func TestOlderTargetDescriptionIsIgnored(t *testing.T) {
	s := newState()
	target := func(started, report int64, revision uint64, leaving bool) roster.Target {
		return roster.Target{ID: "t-1", Service: "orders", Slots: 1, Started: started, ReportSequence: report, Revision: revision, Leaving: leaving}
	}
	leaving := func() bool { return s.View().Targets["orders"][0].Leaving }
	s.UpdateTargets([]roster.Target{target(1, 5, 10, true)}, nil)
	s.UpdateTargets([]roster.Target{target(1, 4, 11, false)}, nil)
	if !leaving() {
		t.Error("an outdated report made a leaving target active again")
	}
	s.UpdateTargets(nil, map[string]uint64{"t-1": 9})
	if len(s.View().Targets["orders"]) != 1 {
		t.Error("a removal older than the description removed the target")
	}
	s.UpdateTargets([]roster.Target{target(2, 0, 12, false)}, nil)
	if leaving() {
		t.Error("the target is still leaving in its new incarnation")
	}
	s.UpdateTargets(nil, map[string]uint64{"t-1": 13})
	if len(s.View().Targets["orders"]) != 0 {
		t.Error("the target was not removed")
	}
}

func TestViewIsImmutable(t *testing.T) {
	s := newState()
	s.UpdateTargets([]roster.Target{{ID: "a", Service: "orders", Revision: 1}}, nil)
	before := s.View()
	s.UpdateTargets([]roster.Target{{ID: "b", Service: "orders", Revision: 2}}, nil)
	s.SetEvacuated([]string{"zone-1"})
	if len(before.Targets["orders"]) != 1 || len(before.Evacuated) != 0 {
		t.Error("an update changed an earlier view")
	}
	if after := s.View(); after.Generation <= before.Generation || len(after.Targets["orders"]) != 2 {
		t.Error("the later view does not contain the update")
	}
}

func TestEvacuationKeepsItsTimes(t *testing.T) {
	now := 10 * time.Second
	s := belief.New(zap.NewNop(), func() time.Duration { return now }, func([]roster.Instance) {})
	s.Confirm(8 * time.Second)
	s.SetEvacuated([]string{"zone-1"})
	s.Confirm(9 * time.Second)
	now = 12 * time.Second
	s.SetEvacuated([]string{"zone-1", "zone-2"})
	want := map[string]belief.Evacuation{
		"zone-1": {LearnedAt: 10 * time.Second, StartedAfter: 8 * time.Second},
		"zone-2": {LearnedAt: 12 * time.Second, StartedAfter: 9 * time.Second},
	}
	if got := s.View().Evacuated; !maps.Equal(got, want) {
		t.Errorf("got evacuations %+v, want %+v", got, want)
	}
	s.SetEvacuated([]string{"zone-2"})
	if got := s.View().Restored["zone-1"]; got != now {
		t.Errorf("zone-1 was restored at %v, want %v", got, now)
	}
}

func TestSinceConfirmedCountsFromRequest(t *testing.T) {
	s := newState()
	if s.SinceConfirmed() < time.Hour {
		t.Error("got a duration below 1h for a state that was never confirmed")
	}
	sentAt := boottime.Now() - 3*time.Second
	s.Confirm(sentAt)
	s.Confirm(sentAt - time.Second)
	if got := s.SinceConfirmed(); got < 3*time.Second || got > 3500*time.Millisecond {
		t.Errorf("got %v since the confirmed request, want 3s", got)
	}
}

func TestInstanceCountCallback(t *testing.T) {
	var counts []int
	s := belief.New(zap.NewNop(), boottime.Now, func(list []roster.Instance) { counts = append(counts, len(list)) })
	list := []roster.Instance{{ID: "b"}, {ID: "a"}}
	s.SetInstances(list)
	s.SetInstances([]roster.Instance{{ID: "a"}, {ID: "b"}})
	s.SetInstances(list[:1])
	if len(counts) != 2 || counts[0] != 2 || counts[1] != 1 {
		t.Errorf("got counts %v, want [2 1]", counts)
	}
}

func TestEmptyListOfInstancesIsKnown(t *testing.T) {
	s := newState()
	if s.View().Instances != nil {
		t.Error("got a list of instances before one was received")
	}
	s.SetInstances(nil)
	if s.View().Instances == nil {
		t.Error("got no list of instances after an empty one was received")
	}
}
