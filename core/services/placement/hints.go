package placement

import "time"

// LimitHint tells whether a response names a limit on requests.
type LimitHint int

const (
	// LimitUnknown means that the response does not tell.
	LimitUnknown LimitHint = iota
	// LimitNone means that the target takes as many requests as it can run.
	LimitNone
	// LimitNamed means that the target names a limit.
	LimitNamed
)

// Hints is what a target says in a response about the requests that it wants.
type Hints struct {
	// Pause is how long the target wants no request from this instance; zero if it did not say.
	Pause time.Duration
	// Leaving is true if the target leaves and wants no further requests at all.
	Leaving bool
	// Limit tells whether the target names a limit, and LimitRate is the number of requests per second that it takes from all
	// instances together.
	Limit     LimitHint
	LimitRate float64
}

const (
	// maxPause bounds the pause that a target is granted.
	maxPause = 5 * time.Minute
	// hintTTL is how long hints are kept after the last request to the target.
	hintTTL = 15 * time.Minute
)

// hintState is what one incarnation of a target has said in its responses. The zero value is that of a target that has said
// nothing.
type hintState struct {
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
	// leaving is true once the target has said that it leaves. It holds for the rest of the incarnation: a response that was
	// made earlier may arrive later.
	leaving bool
	// limited is true while the target names a limit, and limit is that limit in requests per second.
	limited bool
	limit   float64
}

// apply updates the state with the hints of a response.
func (s *hintState) apply(h Hints, now time.Time) {
	if until := now.Add(min(h.Pause, maxPause)); h.Pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	s.leaving = s.leaving || h.Leaving
	if h.Limit != LimitUnknown {
		s.limited, s.limit = h.Limit == LimitNamed, h.LimitRate
	}
}

// availableIn returns how long the target wants no requests from this instance; zero or negative if it takes them.
func (s *hintState) availableIn(now time.Time) time.Duration { return s.pausedUntil.Sub(now) }

// isEmpty reports whether the state holds nothing that still applies.
func (s *hintState) isEmpty(now time.Time) bool {
	return s.availableIn(now) <= 0 && !s.leaving && !s.limited
}
