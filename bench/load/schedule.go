package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	// due is the scheduled time, from the start of the plan.
	due    time.Duration
	team   *Team
	stream *Stream
	// withinRate is true if the rate and burst of the team permit the request.
	withinRate bool
}

// newSchedule returns the requests of a plan, ordered by scheduled time. The schedule depends only on the plan and its seed.
func newSchedule(p *Plan) []arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0)) //nolint:gosec // a reproducible schedule
	var all []arrival
	for i := range p.Teams {
		team := &p.Teams[i]
		for j := range team.Requests {
			all = append(all, streamArrivals(p, team, &team.Requests[j], random)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.due - b.due) })
	all = all[:min(len(all), p.MaxRequests)]
	markWithinRate(all)
	return all
}

func streamArrivals(p *Plan, team *Team, s *Stream, random *rand.Rand) []arrival {
	until := p.Duration
	if s.Until > 0 {
		until = min(until, s.Until)
	}
	var all []arrival
	due := s.From
	for len(all) < p.MaxRequests {
		due += time.Duration(random.ExpFloat64() / s.PerSecond * float64(time.Second))
		if due >= until {
			break
		}
		all = append(all, arrival{due: due, team: team, stream: s})
	}
	return all
}

// markWithinRate sets withinRate by a token bucket for each team, which is full at the start.
func markWithinRate(all []arrival) {
	type bucket struct {
		tokens  float64
		updated time.Duration
	}
	buckets := map[*Team]*bucket{}
	for i := range all {
		a := &all[i]
		b := buckets[a.team]
		if b == nil {
			b = &bucket{tokens: a.team.Burst}
			buckets[a.team] = b
		}
		b.tokens = min(a.team.Burst, b.tokens+a.team.Rate*(a.due-b.updated).Seconds())
		b.updated = a.due
		if b.tokens >= 1 {
			b.tokens--
			a.withinRate = true
		}
	}
}
