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

func check(t *rapid.T, got persistent.Map[int], want map[string]int) {
	if got.Len() != len(want) || !maps.Equal(maps.Collect(got.All()), want) {
		t.Fatalf("got %d elements %v, want %v", got.Len(), maps.Collect(got.All()), want)
	}
	for name, v := range want {
		if have, ok := got.Get(name); !ok || have != v {
			t.Fatalf("%s: got %d %t, want %d", name, have, ok, v)
		}
	}
}

// TestMap changes a map at random and compares it and every ancestor with plain maps.
func TestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]int{}
		var got persistent.Map[int]
		var ancestors []persistent.Map[int]
		var ancestral []map[string]int
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
			ancestors, ancestral = append(ancestors, got), append(ancestral, maps.Clone(want))
		}
		for i := range ancestors {
			check(t, ancestors[i], ancestral[i])
		}
		check(t, persistent.NewMap(maps.All(want)), want)
	})
}
