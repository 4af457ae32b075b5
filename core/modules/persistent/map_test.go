package persistent_test

import (
	"flag"
	"maps"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"medlarpond.dev/core/modules/persistent"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// check fails if the map and the plain map differ.
func check(t *rapid.T, got persistent.Map[int], want map[string]int) {
	if got.Len() != len(want) || !maps.Equal(maps.Collect(got.All()), want) {
		t.Fatalf("got %d elements %v, want elements %v", got.Len(), maps.Collect(got.All()), want)
	}
	for name, v := range want {
		if value, ok := got.Get(name); !ok || value != v {
			t.Fatalf("Get(%q): got %d, %t; want %d, true", name, value, ok, v)
		}
	}
}

// TestMap makes random changes and compares the map after each change with a plain map. The comparisons come last, so
// that a change that modifies an earlier version is found.
func TestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]int{}
		var got persistent.Map[int]
		var versions []persistent.Map[int]
		var wantVersions []map[string]int
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for i := range steps {
			name := strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "name"))
			if rapid.Bool().Draw(t, "delete") {
				delete(want, name)
				got = got.Without(name)
			} else {
				want[name] = i
				got = got.With(name, i)
			}
			versions, wantVersions = append(versions, got), append(wantVersions, maps.Clone(want))
		}
		for i := range versions {
			check(t, versions[i], wantVersions[i])
		}
		check(t, persistent.NewMap(maps.All(want)), want)
	})
}
