package membership

import (
	"sync"
	"time"
)

// activationMargin is added to the confirm timeout before an epoch counts as over; it covers clocks whose rates differ.
const activationMargin = time.Second

// Epochs knows which epochs are over: no process can be confirmed in them any more.
type Epochs struct {
	// term is how long a process may go on after its last contact, with a margin.
	term time.Duration

	mu sync.Mutex
	// adopted and settled are the latest epochs that processes have reported.
	adopted, settled map[string]uint64
	// most is when this instance learned that most seats of an epoch had adopted a later one, and overSince when it saw
	// that the epoch was over.
	most, overSince map[uint64]time.Time
}

// NewEpochs returns a tracker for instances with the given confirm timeout.
func NewEpochs(confirmTimeout time.Duration) *Epochs {
	return &Epochs{
		term:    confirmTimeout + activationMargin,
		adopted: map[string]uint64{}, settled: map[string]uint64{},
		most: map[uint64]time.Time{}, overSince: map[uint64]time.Time{},
	}
}

// Report notes the epochs that a process has adopted and settled.
func (e *Epochs) Report(process string, adopted, settled uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopted[process] = max(e.adopted[process], adopted)
	e.settled[process] = max(e.settled[process], settled)
}

// Over reports whether all epochs before the record's are over, and whether besides every seat of them has settled.
func (e *Epochs) Over(f Fleet) (over, settled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	over, settled = true, true
	for _, set := range f.Open {
		over = !e.since(set).IsZero() && over
		settled = e.allSettled(set) && settled
	}
	e.forget(f)
	return over, over && settled
}

// OverSince returns when this instance saw that the epoch of a set was over; zero if it is not.
func (e *Epochs) OverSince(set SeatSet) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since(set)
}

// Settled reports whether every seat of a set has settled for a later epoch.
func (e *Epochs) Settled(set SeatSet) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allSettled(set)
}

func (e *Epochs) since(set SeatSet) time.Time {
	if e.overSince[set.Epoch].IsZero() && (set.Closed || e.over(set)) {
		e.overSince[set.Epoch] = time.Now()
	}
	return e.overSince[set.Epoch]
}

func (e *Epochs) over(set SeatSet) bool {
	adopted := 0
	for _, s := range set.Seats {
		if s.Gone || e.adopted[s.Process()] > set.Epoch {
			adopted++
		}
	}
	if adopted == len(set.Seats) {
		return true
	}
	if adopted <= len(set.Seats)/2 {
		return false
	}
	if e.most[set.Epoch].IsZero() {
		e.most[set.Epoch] = time.Now()
	}
	return time.Since(e.most[set.Epoch]) > e.term
}

func (e *Epochs) allSettled(set SeatSet) bool {
	for _, s := range set.Seats {
		if !s.Settled && e.settled[s.Process()] <= set.Epoch {
			return false
		}
	}
	return true
}

// forget drops what is known of processes and epochs that no longer matter.
func (e *Epochs) forget(f Fleet) {
	if len(f.Open) > 0 {
		return
	}
	clear(e.most)
	clear(e.overSince)
	current := map[string]bool{}
	for _, s := range f.Seats() {
		current[s.Process()] = true
	}
	for process := range e.adopted {
		if !current[process] {
			delete(e.adopted, process)
			delete(e.settled, process)
		}
	}
}
