package edge_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/edge"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/services/forward"
	"medlarpond.dev/core/settings"
)

func TestLocate(t *testing.T) {
	place := func(region, domain string) roster.Place { return roster.Place{Region: region, FailureDomain: domain} }
	all := []roster.Instance{
		{ID: "a", Place: place("east", "east-1")},
		{ID: "b", Place: place("east", "east-2")},
		{ID: "c", Place: place("west", "west-1")},
		{ID: "self", Place: place("north", "north-1")},
	}
	for name, c := range map[string]struct {
		caller    roster.Place
		confirmed bool
		instances []roster.Instance
		want      []string
	}{
		"own failure domain":                {place("east", "east-2"), true, all, []string{"b"}},
		"own region":                        {place("east", "east-3"), true, all, []string{"a", "b"}},
		"other region":                      {place("south", "south-1"), true, all, []string{"a", "b", "c", "self"}},
		"excludes itself while unconfirmed": {place("north", "north-1"), false, all, []string{"a", "b", "c"}},
		"includes itself while confirmed":   {place("north", "north-1"), true, all, []string{"self"}},
		"includes itself while unconfirmed if it is the only one": {place("north", "north-1"), false, all[3:], []string{"self"}},
		"empty list":                     {place("north", "north-1"), true, []roster.Instance{}, []string{"self"}},
		"empty list while unconfirmed":   {place("north", "north-1"), false, []roster.Instance{}, []string{"self"}},
		"list lacks itself":              {place("north", "north-1"), true, all[:3], []string{"self"}},
		"lacks itself, other region":     {place("east", "east-2"), true, all[:3], []string{"b"}},
		"lacks itself while unconfirmed": {place("north", "north-1"), false, all[:3], []string{"a", "b", "c"}},
		"no list received":               {place("north", "north-1"), true, nil, nil},
	} {
		s := settings.Edge{
			Instance: settings.Instance{ID: "self", Region: "north", FailureDomain: "north-1"},
			Bounds:   settings.EdgeBounds{RevokeWithin: 5 * time.Second, ContactWithin: 3 * time.Second},
			Stop:     settings.EdgeStop{LookupTTL: time.Second},
		}
		e := edge.New(s, forward.Headers{}, zap.NewNop())
		if c.instances != nil {
			e.State().SetInstances(slices.Clone(c.instances))
		}
		if c.confirmed {
			e.State().Confirm(boottime.Now())
		}
		var got []string
		result := e.Locate(c.caller)
		for _, i := range result.Instances {
			got = append(got, i.ID)
		}
		if !slices.Equal(got, c.want) || result.TTL != time.Second {
			t.Errorf("%s: got %v with TTL %v, want %v with TTL 1s", name, got, result.TTL, c.want)
		}
	}
}

// TestLocateNamesLargeInstances guards against callers being directed to machines that are much smaller than others of their failure
// domain, and against lookups that name nobody else when one of two large instances cannot be used.
func TestLocateNamesLargeInstances(t *testing.T) {
	place := roster.Place{Region: "east", FailureDomain: "east-1"}
	e := edge.New(settings.Edge{
		Instance: settings.Instance{ID: "self", Region: "east", FailureDomain: "east-1"},
		Capacity: settings.EdgeCapacity{CPUShare: 0.8, Cores: 1, LinkMbps: 200},
		Bounds:   settings.EdgeBounds{RevokeWithin: 5 * time.Second, ContactWithin: 3 * time.Second},
	}, forward.Headers{}, zap.NewNop())
	e.State().SetInstances([]roster.Instance{
		{ID: "large", Place: place, Capacity: 0.8},
		{ID: "self", Place: place, Capacity: 0.8},
		{ID: "small-1", Place: place, Capacity: 0.04},
		{ID: "small-2", Place: place, Capacity: 0.05},
	})
	locate := func() (ids []string) {
		for _, i := range e.Locate(place).Instances {
			ids = append(ids, i.ID)
		}
		return ids
	}
	if got, want := locate(), []string{"large", "small-2"}; !slices.Equal(got, want) {
		t.Errorf("with a large instance unconfirmed: got %v, want %v", got, want)
	}
	e.State().Confirm(boottime.Now())
	if got, want := locate(), []string{"large", "self"}; !slices.Equal(got, want) {
		t.Errorf("with both confirmed: got %v, want %v", got, want)
	}
}

// TestOwnerTimeoutIsRequired guards against an assembly without Policy.OwnerTimeout, with which cold targets get no requests.
func TestOwnerTimeoutIsRequired(t *testing.T) {
	defer func() {
		if message := fmt.Sprint(recover()); !strings.Contains(message, "OwnerTimeout") {
			t.Errorf("got panic %q, want one that names OwnerTimeout", message)
		}
	}()
	edge.New(settings.Edge{}, forward.Headers{}, zap.NewNop())
}
