package rendezvous_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"medlarpond.dev/core/modules/rendezvous"
)

// TestOwners checks that keys are spread evenly and that adding a member moves only the keys that the new member owns.
func TestOwners(t *testing.T) {
	const keys, owners = 7000, 3
	var members []string
	for n := range 7 {
		members = append(members, fmt.Sprintf("entry-%d", n))
	}
	count := map[string]int{}
	for n := range keys {
		key := binary.BigEndian.AppendUint64(nil, uint64(n))
		before := rendezvous.Owners(key, members[:6], owners)
		after := rendezvous.Owners(key, members, owners)
		count[after[0]]++
		kept := slices.DeleteFunc(slices.Clone(after), func(m string) bool { return m == "entry-6" })
		if !slices.Equal(kept, before[:len(kept)]) {
			t.Fatalf("key %d: owners changed from %v to %v, want the same order of the old members", n, before, after)
		}
	}
	for _, m := range members {
		if count[m] < keys/7*9/10 || count[m] > keys/7*11/10 {
			t.Errorf("%s: got %d of %d keys, want a seventh within 10%%", m, count[m], keys)
		}
	}
}
