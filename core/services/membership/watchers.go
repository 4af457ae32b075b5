package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// storeWatchers is the number of instances that keep a watch open at the store.
const storeWatchers = 3

// Watching reports whether an instance is one of the few that watch the store: those living members that come first by
// their hashes. An instance that knows no members watches.
func Watching(t *Table, f Fleet, self string) bool {
	var living []string
	for _, m := range f.Members {
		if m.ID == self || (m.State != StateLeaving && t.Silent(m.ID, m.Incarnation) < silenceTimeout) {
			living = append(living, m.ID)
		}
	}
	slices.SortFunc(living, func(a, b string) int {
		return cmp.Or(cmp.Compare(watchHash(a), watchHash(b)), cmp.Compare(a, b))
	})
	position := slices.Index(living, self)
	return position < storeWatchers
}

// Archiving reports whether an instance is the one that keeps the archive: the first of those that watch.
func Archiving(t *Table, f Fleet, self string) bool {
	if !Watching(t, f, self) {
		return false
	}
	for _, m := range f.Members {
		alive := m.State != StateLeaving && t.Silent(m.ID, m.Incarnation) < silenceTimeout
		if m.ID != self && alive && watchHash(m.ID) < watchHash(self) {
			return false
		}
	}
	return true
}

func watchHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("store-watch/" + id))
	return h.Sum64()
}
