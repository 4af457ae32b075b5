package hedge

import (
	"time"

	"github.com/valyala/histogram"
)

const (
	// window is the time after which a response time is forgotten.
	window = time.Minute
	// minResponses is the least number of response times from which a quantile is computed.
	minResponses = 100
	// quantileTTL is how long a computed quantile is used. Computing it sorts up to a thousand response times.
	quantileTTL = time.Second
)

// responseTimes holds the response times of the last half to whole window, in seconds.
type responseTimes struct {
	// older holds the times of up to a window, newer those of its second half. Every half window newer takes the place of older,
	// which is emptied.
	older, newer generation
	rotatedAt    time.Time
	// cached is the quantile as of cachedAt; zero if there were too few responses.
	cached   time.Duration
	cachedAt time.Time
}

type generation struct {
	histogram *histogram.Fast
	count     int
}

func (g *generation) add(took time.Duration) {
	g.histogram.Update(took.Seconds())
	g.count++
}

func (g *generation) reset() {
	g.histogram.Reset()
	g.count = 0
}

func newResponseTimes(now time.Time) responseTimes {
	return responseTimes{
		older: generation{histogram: histogram.NewFast()}, newer: generation{histogram: histogram.NewFast()}, rotatedAt: now,
	}
}

func (t *responseTimes) add(took time.Duration, now time.Time) {
	t.rotate(now)
	t.older.add(took)
	t.newer.add(took)
}

// rotate forgets response times that are older than the window.
func (t *responseTimes) rotate(now time.Time) {
	elapsed := now.Sub(t.rotatedAt)
	if elapsed < window/2 {
		return
	}
	t.older, t.newer = t.newer, t.older
	t.newer.reset()
	t.rotatedAt, t.cachedAt = t.rotatedAt.Add(window/2), time.Time{}
	if elapsed >= window {
		t.older.reset()
		t.rotatedAt = now
	}
}

// quantile returns a quantile of the response times; false if there are fewer than minResponses.
func (t *responseTimes) quantile(phi float64, now time.Time) (time.Duration, bool) {
	t.rotate(now)
	if t.cachedAt.IsZero() || now.Sub(t.cachedAt) >= quantileTTL {
		t.cached, t.cachedAt = 0, now
		if t.older.count >= minResponses {
			t.cached = time.Duration(t.older.histogram.Quantile(phi) * float64(time.Second))
		}
	}
	return t.cached, t.cached > 0
}

// isUnused reports whether there were no responses in the last half window.
func (t *responseTimes) isUnused(now time.Time) bool {
	t.rotate(now)
	return t.older.count == 0
}
