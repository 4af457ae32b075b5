package membership

import (
	"sync"
	"time"
)

const (
	// removalTimeout is how long a member must be unresponsive to all reachable seats before one of them removes it.
	removalTimeout = 6 * time.Second
	// reportTTL is how long a seat's report about a member counts.
	reportTTL = 2 * time.Second
)

// Silence collects from each seat how long members have been unresponsive, to decide which ones are dead.
type Silence struct {
	mu sync.Mutex
	// reports is keyed by process, then by the ID of the reporting seat.
	reports map[string]map[string]silenceReport
}

// silenceReport is how long a member had been unresponsive to a seat at the time of the report.
type silenceReport struct {
	silence    time.Duration
	reportedAt time.Time
}

// NewSilence returns a collection without reports.
func NewSilence() *Silence { return &Silence{reports: map[string]map[string]silenceReport{}} }

func (s *Silence) record(seat, process string, silence time.Duration, reportedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports[process] == nil {
		s.reports[process] = map[string]silenceReport{}
	}
	s.reports[process][seat] = silenceReport{silence: silence, reportedAt: reportedAt}
}

// Dead returns the members that a seat should remove: those unresponsive to it and to every other responsive seat. At
// least one other seat must agree, so that an isolated seat removes nobody.
func (s *Silence) Dead(f Fleet, self string, t *Table) []Registered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []Registered
	for _, m := range f.Members {
		if m.ID != self && t.Silent(m.ID, m.Incarnation) > removalTimeout && s.allSeatsAgree(f, m, self, t) {
			dead = append(dead, m)
		}
	}
	s.prune(f)
	return dead
}

func (s *Silence) allSeatsAgree(f Fleet, m Registered, self string, t *Table) bool {
	reports := s.reports[m.toMember().Process()]
	witnesses := 0
	for _, seat := range f.Seats() {
		if seat.ID == self || seat.ID == m.ID || t.Silent(seat.ID, seat.Incarnation) > removalTimeout {
			continue
		}
		report := reports[seat.ID]
		if time.Since(report.reportedAt) > reportTTL || report.silence < removalTimeout {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

func (s *Silence) prune(f Fleet) {
	known := map[string]bool{}
	for _, m := range f.Members {
		known[m.toMember().Process()] = true
	}
	for process := range s.reports {
		if !known[process] {
			delete(s.reports, process)
		}
	}
}
