package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	// historyWindow is the time for which attempts are counted together. The counts of the window before it are used, too.
	historyWindow = 10 * time.Second
	// maxHistory is the maximum number of requests that are counted in a window.
	maxHistory = 4096
	// completedPerDeath is the number of completed attempts for each death from which on a request is not blamed for it.
	completedPerDeath = 20
)

// History counts how the attempts of each request at this instance have ended lately. A target that dies has many requests.
// Those that other targets complete all the time have not killed it. It is safe for concurrent use.
type History struct {
	mu                sync.Mutex
	current, previous map[uint64]*attempts
	startedAt         time.Time
}

// attempts counts how the attempts of a request have ended in a window.
type attempts struct {
	completed int
	// died holds the incarnations that died during an attempt, each once.
	died []incarnation
}

type incarnation struct {
	target  string
	started int64
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{current: map[uint64]*attempts{}, startedAt: time.Now()}
}

// RecordCompleted records that a target has completed an attempt of a request. The key identifies the request at this instance.
func (h *History) RecordCompleted(key uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.get(key); a != nil {
		a.completed++
	}
}

// RecordDeath records that an incarnation of a target died during an attempt of a request, and reports whether the request may
// have killed it.
func (h *History) RecordDeath(key uint64, target string, started int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.get(key)
	if a == nil {
		return true
	}
	if i := (incarnation{target, started}); !slices.Contains(a.died, i) {
		a.died = append(a.died, i)
	}
	completed, died := a.completed, len(a.died)
	if before := h.previous[key]; before != nil {
		completed, died = completed+before.completed, died+len(before.died)
	}
	return died*completedPerDeath > completed
}

// get returns the attempts of a request in the current window, or nil if there are too many requests. The caller must hold mu.
func (h *History) get(key uint64) *attempts {
	if elapsed := time.Since(h.startedAt); elapsed >= historyWindow {
		h.previous = h.current
		if elapsed >= 2*historyWindow {
			h.previous = nil
		}
		h.current, h.startedAt = map[uint64]*attempts{}, time.Now()
	}
	a := h.current[key]
	if a == nil && len(h.current) < maxHistory {
		a = &attempts{}
		h.current[key] = a
	}
	return a
}
