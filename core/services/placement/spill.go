package placement

import (
	"time"
)

// spillHalfLife is the time in which a request loses half of its weight in the count of spilled requests; the bound on
// shifts between regions is judged over two seconds.
const spillHalfLife = time.Second

// spill counts the requests that were served outside the region of their object for want of room.
type spill struct {
	// total and spilled are weighted counts at the time at.
	total, spilled float64
	at             time.Time
}

// room reports whether one more request may be served elsewhere when at most the given part may be.
func (s *spill) room(now time.Time, part float64) bool {
	weight := decay(now.Sub(s.at), spillHalfLife)
	return s.spilled*weight+1 <= part*(s.total*weight+1)
}

// count notes a request.
func (s *spill) count(now time.Time, spilled bool) {
	weight := decay(now.Sub(s.at), spillHalfLife)
	s.total, s.spilled, s.at = s.total*weight+1, s.spilled*weight, now
	if spilled {
		s.spilled++
	}
}
