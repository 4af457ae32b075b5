package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxLogBytes bounds the changes that a log holds; followers ask several times a second.
const maxLogBytes = 1 << 20

// changeOverhead is what a change takes beside its key and value, in bytes.
const changeOverhead = 64

// Change is what became of a key of the store.
type Change struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the change.
	Revision uint64
	Removed  bool
}

func (c Change) size() int { return len(c.Key) + len(c.Value) + changeOverhead }

// log holds the latest changes of a topic in the order in which this instance has learnt of them, which may differ from
// that of their revisions.
type log struct {
	// id differs between lifetimes of instances.
	id uint64

	mu sync.Mutex
	// changes holds those from the number first on; bytes is their size.
	changes []Change
	first   uint64
	bytes   int
	// live holds the last change of every key that exists.
	live map[string]Change
	// floor is the highest revision of which a change may be missing.
	floor uint64
	// confirmed is the boot time of the question by which every change up to revision is known; zero before the first.
	confirmed time.Duration
	revision  uint64
	// changed is closed by the next change.
	changed chan struct{}
}

func newLog() *log {
	return &log{id: rand.Uint64() | 1, live: map[string]Change{}, changed: make(chan struct{})}
}

func (l *log) append(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Removed {
		delete(l.live, c.Key)
	} else {
		l.live[c.Key] = c
	}
	if l.confirmed == 0 {
		// What is learnt before the first confirmation is the list that a follower has too.
		l.floor = max(l.floor, c.Revision)
		return
	}
	l.changes = append(l.changes, c)
	l.bytes += c.size()
	for l.bytes > maxLogBytes && len(l.changes) > 1 {
		l.floor = max(l.floor, l.changes[0].Revision)
		l.bytes -= l.changes[0].size()
		l.changes = l.changes[1:]
		l.first++
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *log) confirm(asked time.Duration, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed == 0 {
		l.floor = max(l.floor, revision)
	}
	l.confirmed, l.revision = max(l.confirmed, asked), max(l.revision, revision)
}

// since returns the changes that an asker lacks whose question arrived at a boot time, and a channel that the next change
// closes.
func (l *log) since(q Question, arrived time.Duration) (Answer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed == 0 {
		return Answer{Lost: true}, l.changed
	}
	end := l.first + uint64(len(l.changes))
	a := Answer{Log: l.id, Position: end, Revision: l.revision, Age: arrived - l.confirmed}
	if q.Log == l.id && q.Position >= l.first && q.Position <= end {
		a.Changes = append(a.Changes, l.changes[q.Position-l.first:]...)
		return a, l.changed
	}
	if q.Revision < l.floor {
		a.Whole = true
		a.Changes = slices.Collect(maps.Values(l.live))
		return a, l.changed
	}
	for _, c := range l.changes {
		if c.Revision > q.Revision {
			a.Changes = append(a.Changes, c)
		}
	}
	return a, l.changed
}
