package membership

import (
	"sync"
	"time"
)

// clockDriftMargin is added to the confirm timeout before an epoch counts as ended, because clocks run at different
// rates.
const clockDriftMargin = time.Second

// EpochTracker tracks which epochs have ended. No process can be confirmed in an ended epoch any more.
type EpochTracker struct {
	// endTimeout is how long a process may stay confirmed after its last contact, plus clockDriftMargin.
	endTimeout time.Duration

	mu sync.Mutex
	// adopted is the latest epoch that each process has reported to have adopted, and settled the latest one whose shares
	// of the limits it no longer exceeds. Both are keyed by process.
	adopted, settled map[string]uint64
	// majorityMovedAt is when this instance learned that a majority of the seats of an epoch had adopted a later one,
	// and endedAt when it learned that the epoch had ended. Both are keyed by epoch.
	majorityMovedAt, endedAt map[uint64]time.Time
}

// NewEpochTracker returns a tracker for instances with the given confirm timeout.
func NewEpochTracker(confirmTimeout time.Duration) *EpochTracker {
	return &EpochTracker{
		endTimeout: confirmTimeout + clockDriftMargin,
		adopted:    map[string]uint64{}, settled: map[string]uint64{},
		majorityMovedAt: map[uint64]time.Time{}, endedAt: map[uint64]time.Time{},
	}
}

// Report records the latest epochs that a process has adopted and settled.
func (e *EpochTracker) Report(process string, adopted, settled uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopted[process] = max(e.adopted[process], adopted)
	e.settled[process] = max(e.settled[process], settled)
}

// AllEnded reports whether all epochs before the record's have ended, and whether in addition every seat of them has
// settled.
func (e *EpochTracker) AllEnded(f Fleet) (ended, settled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, settled = true, true
	for _, set := range f.OpenSets {
		ended = !e.endTime(set).IsZero() && ended
		settled = e.allSettled(set) && settled
	}
	e.prune(f)
	return ended, ended && settled
}

// EndedAt returns when this instance learned that the epoch of a seat set had ended; zero if it has not.
func (e *EpochTracker) EndedAt(set SeatSet) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endTime(set)
}

// AllSettled reports whether every seat of a set has settled for a later epoch.
func (e *EpochTracker) AllSettled(set SeatSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allSettled(set)
}

func (e *EpochTracker) endTime(set SeatSet) time.Time {
	if e.endedAt[set.Epoch].IsZero() && (set.Closed || e.hasEnded(set)) {
		e.endedAt[set.Epoch] = time.Now()
	}
	return e.endedAt[set.Epoch]
}

func (e *EpochTracker) hasEnded(set SeatSet) bool {
	moved := 0
	for _, s := range set.Seats {
		if s.Gone || e.adopted[s.ProcessID()] > set.Epoch {
			moved++
		}
	}
	if moved == len(set.Seats) {
		return true
	}
	if moved <= len(set.Seats)/2 {
		return false
	}
	if e.majorityMovedAt[set.Epoch].IsZero() {
		e.majorityMovedAt[set.Epoch] = time.Now()
	}
	return time.Since(e.majorityMovedAt[set.Epoch]) > e.endTimeout
}

func (e *EpochTracker) allSettled(set SeatSet) bool {
	for _, s := range set.Seats {
		if !s.Settled && e.settled[s.ProcessID()] <= set.Epoch {
			return false
		}
	}
	return true
}

// prune drops the state of ended epochs and of processes without a seat once the record has no open epochs.
func (e *EpochTracker) prune(f Fleet) {
	if len(f.OpenSets) > 0 {
		return
	}
	clear(e.majorityMovedAt)
	clear(e.endedAt)
	current := map[string]bool{}
	for _, s := range f.Seats() {
		current[s.ProcessID()] = true
	}
	for process := range e.adopted {
		if !current[process] {
			delete(e.adopted, process)
			delete(e.settled, process)
		}
	}
}
