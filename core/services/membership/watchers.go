package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// storeWatchers is the number of instances that keep a watch open on the store.
const storeWatchers = 3

// WatchesStore reports whether an instance is one of the storeWatchers live members with the lowest hashes, which watch
// the store. An instance that is not in the record also watches.
func WatchesStore(t *Table, f Fleet, self string) bool {
	var alive []string
	for _, m := range f.Members {
		if m.ID == self || (m.State != StateLeaving && t.SinceLastSeen(m.ID, m.Incarnation) < unresponsiveTimeout) {
			alive = append(alive, m.ID)
		}
	}
	slices.SortFunc(alive, func(a, b string) int {
		return cmp.Or(cmp.Compare(watchHash(a), watchHash(b)), cmp.Compare(a, b))
	})
	rank := slices.Index(alive, self)
	return rank < storeWatchers
}

// WritesArchive reports whether an instance is the one that writes the archive: the live member with the lowest hash.
func WritesArchive(t *Table, f Fleet, self string) bool {
	if !WatchesStore(t, f, self) {
		return false
	}
	for _, m := range f.Members {
		alive := m.State != StateLeaving && t.SinceLastSeen(m.ID, m.Incarnation) < unresponsiveTimeout
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
