package hedge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/services/hedge"
)

// TestExtraWorkStaysWithinLimit counts the hedges of all instances in every window of time. It guards against an allowance that
// accumulates in quiet times or is available to a process from its start, so that restarts raise the limit.
func TestExtraWorkStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const steps = 60
		ratio := rapid.Float64Range(0.001, 0.2).Draw(rt, "ratio")
		n := rapid.IntRange(1, 7).Draw(rt, "instances")
		requests := rapid.SliceOfN(rapid.IntRange(0, 60), steps, steps).Draw(rt, "requests")
		busy := rapid.SliceOfN(rapid.Float64Range(0, 1), steps, steps).Draw(rt, "busy")
		slow := rapid.SliceOfN(rapid.Bool(), steps, steps).Draw(rt, "slow")
		restart := rapid.SliceOfN(rapid.Bool(), steps, steps).Draw(rt, "restart")
		fleet := make([]*hedge.Hedger, n)
		var hedges [steps]int
		for step := range steps {
			i := step % n
			if fleet[i] == nil || restart[step] {
				fleet[i] = hedge.New(hedge.Policy{Ratio: ratio, Quantile: 0.95})
			}
			for range requests[step] {
				fleet[i].CountRequest("r", busy[step])
				if slow[step] && fleet[i].Take("r", busy[step]) == hedge.Permitted {
					hedges[step]++
				}
			}
			if busy[step] >= 0.9 && hedges[step] > 0 {
				rt.Fatalf("got %d hedges while %v of the slots were busy, want none", hedges[step], busy[step])
			}
		}
		for from := range steps {
			sent, received := 0, 0
			for to := from; to < steps; to++ {
				sent, received = sent+hedges[to], received+requests[to]
				saved := n
				if from == 0 {
					saved = 0
				}
				if limit := ratio*float64(received) + float64(saved) + 1e-6; float64(sent) > limit {
					rt.Fatalf("steps %d to %d: got %d hedges for %d requests, want at most %.2f", from, to, sent, received, limit)
				}
			}
		}
	})
}

// TestAllowanceFallsAsSlotsFill checks how many of 1000 requests may be hedged at each share of busy slots.
func TestAllowanceFallsAsSlotsFill(t *testing.T) {
	for busy, want := range map[float64]int{0: 100, 0.6: 100, 0.75: 50, 0.89: 3, 0.9: 0, 1.5: 0} {
		h := hedge.New(hedge.Policy{Ratio: 0.1, Quantile: 0.95})
		got := 0
		for range 1000 {
			h.CountRequest("r", busy)
			if h.HasAllowance("r") && h.Take("r", busy) == hedge.Permitted {
				got++
			}
		}
		if got < want-1 || got > want {
			t.Errorf("%v of the slots busy: got %d hedges, want %d", busy, got, want)
		}
	}
	h := hedge.New(hedge.Policy{Ratio: 0.2, Quantile: 0.95})
	for range 10 {
		h.CountRequest("r", 0)
	}
	if got := h.Take("r", 0.95); got != hedge.Busy {
		t.Errorf("saved allowance while 0.95 of the slots are busy: got %q, want %q", got, hedge.Busy)
	}
	if got := h.Take("r", 0); got != hedge.Permitted {
		t.Errorf("saved allowance: got %q, want it permitted", got)
	}
	h.Refund("r")
	h.Refund("r")
	if h.Take("r", 0) != hedge.Permitted || h.Take("r", 0) != hedge.Allowance {
		t.Error("want one saved hedge after two refunds")
	}
}

// TestDelay checks that the quantile is learned from at least 100 responses of the last minute, for each route by itself: an
// instance without it must not hedge, and one with old figures would hedge most requests once the route has become slower.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedge.New(hedge.Policy{Ratio: 0.1, Quantile: 0.95})
		record := func(n int, took time.Duration) {
			for range n {
				h.Record("r", took)
			}
		}
		record(96, 200*time.Millisecond)
		record(3, 1400*time.Millisecond)
		if delay, ok := h.Delay("r"); ok {
			t.Errorf("after 99 responses: got a delay of %v, want none", delay)
		}
		record(1, 200*time.Millisecond)
		time.Sleep(time.Second)
		if delay, ok := h.Delay("r"); !ok || delay != 200*time.Millisecond {
			t.Errorf("3%% of the responses slow: got %v, %v, want 200ms", delay, ok)
		}
		if _, ok := h.Delay("other"); ok {
			t.Error("a route without responses has a delay")
		}
		time.Sleep(35 * time.Second)
		record(200, 500*time.Millisecond)
		time.Sleep(30 * time.Second)
		if delay, ok := h.Delay("r"); !ok || delay != 500*time.Millisecond {
			t.Errorf("after a minute: got %v, %v, want 500ms", delay, ok)
		}
		record(100, 500*time.Millisecond)
		time.Sleep(61 * time.Second)
		if delay, ok := h.Delay("r"); ok {
			t.Errorf("a minute after the last response: got %v, want no delay", delay)
		}
	})
}

// TestNumberOfRoutesIsBounded guards against memory that grows with the routes of earlier intents.
func TestNumberOfRoutesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedge.New(hedge.Policy{Ratio: 0.2, Quantile: 0.95})
		learn := func(name string) bool {
			for range 100 {
				h.Record(name, time.Second)
			}
			_, ok := h.Delay(name)
			return ok
		}
		for n := range 128 {
			if !learn(fmt.Sprint(n)) {
				t.Fatalf("route %d has no delay", n)
			}
		}
		if learn("further") {
			t.Error("a route over the bound has a delay")
		}
		time.Sleep(time.Minute)
		if !learn("further") {
			t.Error("the routes of a minute ago keep a new one out")
		}
	})
}

// TestWithhold checks each reason not to send a hedge.
func TestWithhold(t *testing.T) {
	permitted := hedge.Situation{
		Idempotent: true, BodyHeld: true, MaxAttempts: 2, TriesLeft: 1, Confirmed: true, TimeLeft: time.Second, MinTime: 25 * time.Millisecond,
	}
	if got := permitted.Withhold(); got != hedge.Permitted {
		t.Errorf("got reason %q, want none", got)
	}
	for name, c := range map[string]struct {
		change func(*hedge.Situation)
		want   hedge.Reason
	}{
		"must not run twice":          {func(s *hedge.Situation) { s.Idempotent = false }, hedge.NotIdempotent},
		"body is streamed":            {func(s *hedge.Situation) { s.BodyHeld = false }, hedge.BodyNotHeld},
		"one attempt permitted":       {func(s *hedge.Situation) { s.MaxAttempts = 1 }, hedge.Attempts},
		"an attempt may have run":     {func(s *hedge.Situation) { s.PossibleRuns, s.MaxAttempts = 1, 3 }, hedge.Attempts},
		"no further target permitted": {func(s *hedge.Situation) { s.TriesLeft = 0 }, hedge.Attempts},
		"a target has died":           {func(s *hedge.Situation) { s.CrashSuspected = true }, hedge.Crash},
		"store not confirmed":         {func(s *hedge.Situation) { s.Confirmed = false }, hedge.Unconfirmed},
		"instance stops":              {func(s *hedge.Situation) { s.Stopping = true }, hedge.Stopping},
		"no time left":                {func(s *hedge.Situation) { s.TimeLeft = 20 * time.Millisecond }, hedge.Deadline},
	} {
		s := permitted
		c.change(&s)
		if got := s.Withhold(); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}
