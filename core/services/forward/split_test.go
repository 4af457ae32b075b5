package forward

import (
	"fmt"
	"math"
	"testing"

	"medlarpond.dev/core/models/intent"
)

// maxShareError is the operators' bound: a service may get at most this much more or less than its share of the weights.
const maxShareError = 0.2

func splitRoute(weights ...float64) *intent.Route {
	r := &intent.Route{Name: "r"}
	for n, weight := range weights {
		r.Services = append(r.Services, intent.WeightedService{Service: fmt.Sprint("s-", n), Weight: weight})
	}
	return r
}

// TestSplitOverManyInstances sends a few requests each through many instances that start at the same time. Together they
// must follow the weights: if all began with the heaviest service, the others would get nothing at first.
func TestSplitOverManyInstances(t *testing.T) {
	for _, weights := range [][]float64{{90, 10}, {1, 1}, {70, 20, 10}, {0.05, 0.95}} {
		r, total := splitRoute(weights...), 0.0
		for _, weight := range weights {
			total += weight
		}
		const instances, requests = 80, 3
		counts := map[string]float64{}
		for range instances {
			s := newWeightedSplitter()
			for range requests {
				counts[s.next(r)]++
			}
		}
		for n, service := range r.Services {
			got, want := counts[service.Service]/(instances*requests), weights[n]/total
			if math.Abs(got-want) > maxShareError/2 {
				t.Errorf("weights %v: service %d got a share of %.2f, want %.2f", weights, n, got, want)
			}
		}
	}
}

// TestSplitFollowsChangedWeights changes weights and their scale while requests arrive: the new weights must hold at once,
// whatever the old ones were.
func TestSplitFollowsChangedWeights(t *testing.T) {
	s := newWeightedSplitter()
	for _, weights := range [][]float64{{900, 100}, {1, 9}, {0.5, 0.5}, {10_000, 30_000}, {3, 1}} {
		r, total := splitRoute(weights...), weights[0]+weights[1]
		first := 0.0
		const requests = 43
		for range requests {
			if s.next(r) == "s-0" {
				first++
			}
		}
		if want := weights[0] / total * requests; math.Abs(first-want) > 1.5 {
			t.Errorf("weights %v: the first service got %v of %d requests, want %v", weights, first, requests, want)
		}
	}
}

// TestSplitFollowsChangedServices replaces the services of a route by others, and then adds one.
func TestSplitFollowsChangedServices(t *testing.T) {
	s := newWeightedSplitter()
	old := splitRoute(99, 1)
	for range 70 {
		s.next(old)
	}
	r := splitRoute(1, 1)
	r.Services[0].Service, r.Services[1].Service = "other-0", "other-1"
	counts := map[string]int{}
	for range 4 {
		counts[s.next(r)]++
	}
	if counts["other-0"] != 2 {
		t.Errorf("got %v for 4 requests at equal weights, want 2 each", counts)
	}
	clear(counts)
	r = splitRoute(1, 1, 1)
	for range 6 {
		counts[s.next(r)]++
	}
	if counts["s-0"] != 2 || counts["s-1"] != 2 {
		t.Errorf("got %v for 6 requests at equal weights, want 2 each", counts)
	}
}

// TestSplitEqualWeightsAreExact starts many round robins at random positions. Rounding errors must not change the order in
// which services of equal weight follow each other.
func TestSplitEqualWeightsAreExact(t *testing.T) {
	r := splitRoute(1, 1, 1)
	for run := range 300 {
		s := newWeightedSplitter()
		counts := map[string]int{}
		for range 6 {
			counts[s.next(r)]++
		}
		if counts["s-0"] != 2 || counts["s-1"] != 2 || counts["s-2"] != 2 {
			t.Fatalf("run %d: got %v for 6 requests at equal weights, want 2 each", run, counts)
		}
	}
}
