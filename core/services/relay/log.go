package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxLogBytes is the maximum size of the changes in a log. Followers poll several times a second, so they rarely need
// older changes.
const maxLogBytes = 1 << 20

// changeOverhead is the size of a change besides its key and value, in bytes.
const changeOverhead = 64

// Change is a change of a key in the store. Its fields are encoded with gob and keep their names.
type Change struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the change.
	Revision uint64
	Removed  bool
}

func (c Change) size() int { return len(c.Key) + len(c.Value) + changeOverhead }

// log holds the latest changes of a topic in the order in which this instance received them, which may differ from the
// order of their revisions.
type log struct {
	// id is a random ID that differs after every restart of an instance.
	id uint64

	mu sync.Mutex
	// changes holds the changes from position firstNumber on; size is their total size.
	changes     []Change
	firstNumber uint64
	size        int
	// latest holds the last change of every existing key.
	latest map[string]Change
	// compactedRevision is the highest revision of a change that may be missing in changes.
	compactedRevision uint64
	// confirmedAt is the boot time at which the latest request to the store was sent whose response confirmed every
	// change up to revision; zero before the first confirmation.
	confirmedAt time.Duration
	revision    uint64
	// changed is closed on the next change.
	changed chan struct{}
}

func newLog() *log {
	return &log{id: rand.Uint64() | 1, latest: map[string]Change{}, changed: make(chan struct{})}
}

func (l *log) append(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Removed {
		delete(l.latest, c.Key)
	} else {
		l.latest[c.Key] = c
	}
	if l.confirmedAt == 0 {
		// Changes received before the first confirmation belong to the initial list, which followers have as well.
		l.compactedRevision = max(l.compactedRevision, c.Revision)
		return
	}
	l.changes = append(l.changes, c)
	l.size += c.size()
	for l.size > maxLogBytes && len(l.changes) > 1 {
		l.compactedRevision = max(l.compactedRevision, l.changes[0].Revision)
		l.size -= l.changes[0].size()
		l.changes = l.changes[1:]
		l.firstNumber++
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *log) confirm(sentAt time.Duration, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt == 0 {
		l.compactedRevision = max(l.compactedRevision, revision)
	}
	l.confirmedAt, l.revision = max(l.confirmedAt, sentAt), max(l.revision, revision)
}

// isConfirmed reports whether the keys have been listed.
func (l *log) isConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt != 0
}

// since returns the response with the changes that the sender of the request does not have, and a channel that is
// closed on the next change. receivedAt is the boot time at which the request was received.
func (l *log) since(request PollRequest, receivedAt time.Duration) (PollResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt == 0 {
		return PollResponse{Lost: true}, l.changed
	}
	end := l.firstNumber + uint64(len(l.changes))
	response := PollResponse{Log: l.id, Position: end, Revision: l.revision, Age: receivedAt - l.confirmedAt}
	if request.Log == l.id && request.Position >= l.firstNumber && request.Position <= end {
		response.Changes = append(response.Changes, l.changes[request.Position-l.firstNumber:]...)
		return response, l.changed
	}
	if request.Revision < l.compactedRevision {
		response.Whole = true
		response.Changes = slices.Collect(maps.Values(l.latest))
		return response, l.changed
	}
	for _, c := range l.changes {
		if c.Revision > request.Revision {
			response.Changes = append(response.Changes, c)
		}
	}
	return response, l.changed
}
