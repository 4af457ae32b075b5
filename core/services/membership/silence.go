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

// FailureDetector collects from each seat how long members have been unresponsive, to decide which ones are dead.
type FailureDetector struct {
	mu sync.Mutex
	// reports is keyed by process, then by the ID of the reporting seat.
	reports map[string]map[string]livenessReport
}

// livenessReport is how long a member had been unresponsive to a seat at the time of the report.
type livenessReport struct {
	unresponsiveFor time.Duration
	reportedAt      time.Time
}

// NewFailureDetector returns a failure detector without reports.
func NewFailureDetector() *FailureDetector {
	return &FailureDetector{reports: map[string]map[string]livenessReport{}}
}

func (d *FailureDetector) record(seat, process string, unresponsiveFor time.Duration, reportedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports[process] == nil {
		d.reports[process] = map[string]livenessReport{}
	}
	d.reports[process][seat] = livenessReport{unresponsiveFor: unresponsiveFor, reportedAt: reportedAt}
}

// Dead returns the members that a seat should remove: those unresponsive to it and to every other responsive seat. At
// least one other seat must agree, so that an isolated seat removes nobody.
func (d *FailureDetector) Dead(f Fleet, self string, t *Table) []FleetMember {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dead []FleetMember
	for _, m := range f.Members {
		if m.ID != self && t.SinceLastSeen(m.ID, m.Incarnation) > removalTimeout && d.allSeatsAgree(f, m, self, t) {
			dead = append(dead, m)
		}
	}
	d.prune(f)
	return dead
}

func (d *FailureDetector) allSeatsAgree(f Fleet, m FleetMember, self string, t *Table) bool {
	reports := d.reports[m.toMember().ProcessID()]
	witnesses := 0
	for _, seat := range f.Seats() {
		if seat.ID == self || seat.ID == m.ID || t.SinceLastSeen(seat.ID, seat.Incarnation) > removalTimeout {
			continue
		}
		report := reports[seat.ID]
		if time.Since(report.reportedAt) > reportTTL || report.unresponsiveFor < removalTimeout {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

func (d *FailureDetector) prune(f Fleet) {
	known := map[string]bool{}
	for _, m := range f.Members {
		known[m.toMember().ProcessID()] = true
	}
	for process := range d.reports {
		if !known[process] {
			delete(d.reports, process)
		}
	}
}
