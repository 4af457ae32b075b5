package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the schedule.
type arrival struct {
	// due is when the request has to be sent, from the start of the plan.
	due    time.Duration
	team   *Team
	stream *Stream
	// withinRate is true if the team's rate and burst permit the request.
	withinRate bool
}

// newSchedule returns the requests of a plan in the order of their times; the seed of the plan decides all of it.
func newSchedule(p *Plan) []arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0)) //nolint:gosec // a reproducible schedule
	var all []arrival
	for i := range p.Teams {
		team := &p.Teams[i]
		for j := range team.Requests {
			all = append(all, arrivals(p, team, &team.Requests[j], random)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.due - b.due) })
	all = all[:min(len(all), p.MaxRequests)]
	markWithinRate(all)
	return all
}

func arrivals(p *Plan, team *Team, s *Stream, random *rand.Rand) []arrival {
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

// markWithinRate follows a token bucket for each team, full at the start.
func markWithinRate(all []arrival) {
	type bucket struct {
		level   float64
		updated time.Duration
	}
	buckets := map[*Team]*bucket{}
	for i := range all {
		a := &all[i]
		b := buckets[a.team]
		if b == nil {
			b = &bucket{level: a.team.Burst}
			buckets[a.team] = b
		}
		b.level = min(a.team.Burst, b.level+a.team.Rate*(a.due-b.updated).Seconds())
		b.updated = a.due
		if b.level >= 1 {
			b.level--
			a.withinRate = true
		}
	}
}
