package roster_test

import (
	"slices"
	"testing"

	"medlarpond.dev/core/models/roster"
)

// TestServing guards against callers being directed to machines that are much smaller than others of their failure domain, and
// against leaving only one instance for them.
func TestServing(t *testing.T) {
	place := roster.Place{Region: "east", FailureDomain: "east-1"}
	other := roster.Place{Region: "east", FailureDomain: "east-2"}
	for name, c := range map[string]struct {
		capacities []float64
		want       []string
	}{
		"none":                        {nil, nil},
		"one":                         {[]float64{0.04}, []string{"a"}},
		"alike":                       {[]float64{0.4, 0.5, 0.8}, []string{"a", "b", "c"}},
		"two large":                   {[]float64{0.8, 0.04, 0.8, 0.04, 0.04}, []string{"a", "c"}},
		"one large":                   {[]float64{0.04, 0.8, 0.05, 0.04}, []string{"b", "c"}},
		"one large, others alike":     {[]float64{0.04, 0.8, 0.04}, []string{"a", "b", "c"}},
		"a capacity that is unknown":  {[]float64{0.8, 0, 0.04, 0.8}, []string{"a", "b", "c", "d"}},
		"capacities that are unknown": {[]float64{0, 0, 0}, []string{"a", "b", "c"}},
	} {
		instances := []roster.Instance{{ID: "elsewhere", Place: other, Capacity: 9}}
		for n, capacity := range c.capacities {
			instances = append(instances, roster.Instance{ID: string(rune('a' + n)), Place: place, Capacity: capacity})
		}
		var got []string
		for _, i := range roster.Serving(instances, place) {
			got = append(got, i.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
