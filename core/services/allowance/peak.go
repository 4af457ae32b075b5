package allowance

import "time"

// PeakCount tracks the highest value of a count within a period. Its times are durations since any fixed moment. The zero value
// holds no count.
type PeakCount struct {
	// samples holds observed counts, the latest last. Counts decrease strictly, times never decrease.
	samples []countSample
}

type countSample struct {
	count int
	// observedAt is when the count was observed, or replaced by a lower one.
	observedAt time.Duration
}

// Set records the count.
func (p *PeakCount) Set(now time.Duration, count int) {
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].count <= count {
		p.samples = p.samples[:len(p.samples)-1]
	}
	if len(p.samples) > 0 {
		p.samples[len(p.samples)-1].observedAt = now
	}
	p.samples = append(p.samples, countSample{count: count, observedAt: now})
}

// Max returns the highest count within the period before now; zero if none has been recorded.
func (p *PeakCount) Max(now, period time.Duration) int {
	for len(p.samples) > 1 && now-p.samples[0].observedAt > period {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].count
}
