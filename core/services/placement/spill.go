package placement

import (
	"time"
)

// spillHalfLife is the half-life of a request's weight in the spill counts. The limit on shifts between regions applies
// to windows of two seconds.
const spillHalfLife = time.Second

// spillLimiter limits the fraction of requests that are served outside the region of their object for lack of capacity.
type spillLimiter struct {
	// total and spilled are request counts with exponential decay, as of updatedAt.
	total, spilled float64
	updatedAt      time.Time
}

// allows reports whether one more request may spill without the spilled fraction exceeding maxFraction.
func (s *spillLimiter) allows(now time.Time, maxFraction float64) bool {
	weight := decay(now.Sub(s.updatedAt), spillHalfLife)
	return s.spilled*weight+1 <= maxFraction*(s.total*weight+1)
}

// record counts a request.
func (s *spillLimiter) record(now time.Time, spilled bool) {
	weight := decay(now.Sub(s.updatedAt), spillHalfLife)
	s.total, s.spilled, s.updatedAt = s.total*weight+1, s.spilled*weight, now
	if spilled {
		s.spilled++
	}
}
