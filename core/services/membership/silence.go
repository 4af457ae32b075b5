package membership

import (
	"sync"
	"time"
)

const (
	// removalTimeout is how long a member must be silent to all seats that can be asked before one of them removes it.
	removalTimeout = 6 * time.Second
	// reportTimeout is how long what a seat says of a member's silence counts.
	reportTimeout = 2 * time.Second
)

// Silence collects for how long members have been silent to each seat.
type Silence struct {
	mu sync.Mutex
	// reports is keyed by process, then by the ID of the seat.
	reports map[string]map[string]report
}

// report is for how long a member had been silent to a seat at a time.
type report struct {
	age time.Duration
	at  time.Time
}

// NewSilence returns an empty collection.
func NewSilence() *Silence { return &Silence{reports: map[string]map[string]report{}} }

func (s *Silence) report(seat, process string, age time.Duration, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports[process] == nil {
		s.reports[process] = map[string]report{}
	}
	s.reports[process][seat] = report{age: age, at: at}
}

// Dead returns the members that a seat should remove: silent to it and to every other seat that it hears, of which there
// is at least one.
func (s *Silence) Dead(f Fleet, self string, t *Table) []Registered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []Registered
	for _, m := range f.Members {
		if m.ID != self && t.Silent(m.ID, m.Incarnation) > removalTimeout && s.agreed(f, m, self, t) {
			dead = append(dead, m)
		}
	}
	s.forget(f)
	return dead
}

func (s *Silence) agreed(f Fleet, m Registered, self string, t *Table) bool {
	reports := s.reports[m.member().Process()]
	witnesses := 0
	for _, seat := range f.Seats() {
		if seat.ID == self || seat.ID == m.ID || t.Silent(seat.ID, seat.Incarnation) > removalTimeout {
			continue
		}
		said := reports[seat.ID]
		if time.Since(said.at) > reportTimeout || said.age < removalTimeout {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

func (s *Silence) forget(f Fleet) {
	known := map[string]bool{}
	for _, m := range f.Members {
		known[m.member().Process()] = true
	}
	for process := range s.reports {
		if !known[process] {
			delete(s.reports, process)
		}
	}
}
