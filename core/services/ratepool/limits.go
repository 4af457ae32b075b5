package ratepool

import (
	"maps"
	"time"

	"medlarpond.dev/core/models/intent"
)

// Policy configures the pools. All instances must have the same policy.
type Policy struct {
	// Enabled permits pooling. Without it every team keeps the equal split.
	Enabled bool
	// MinPart is the number of requests in a window below which an equal part of a team's limit is too small to be used
	// without pooling.
	MinPart float64
	// Window is the length of the sliding window in which a team's requests are counted.
	Window time.Duration
	// Overrun is the fraction by which a window may exceed the limit, and Slack a number of requests in addition.
	Overrun float64
	Slack   float64
	// GrowAfter is how long the number of instances must have been lower before the share of an instance grows.
	GrowAfter time.Duration
}

const (
	// memberTokenTTL is how long after sending a draw a member may use the tokens that it gets.
	memberTokenTTL = 150 * time.Millisecond
	// collectorTokenTTL is how long after sending a draw a domain collector may pass on the tokens that it gets.
	collectorTokenTTL = 500 * time.Millisecond
	// maxRootTokenAge is the longest time between taking a token from a bucket of the root and sending the request.
	maxRootTokenAge = memberTokenTTL + collectorTokenTTL
	// minSizeTime is the time for which a bucket collects tokens at least. A smaller bucket would be full before the next draw.
	minSizeTime = 250 * time.Millisecond
)

// limits are the parameters of token buckets for the whole of a team's limit.
type limits struct {
	// rate is in tokens per second.
	rate float64
	// inWindow is the number of requests that may run in a window.
	inWindow float64
	// size is the size of a bucket at the node. Tokens are used for up to a time after they have been taken, so that
	// rate x (window + that time) + size requests run in a window; this is at most inWindow.
	size float64
}

// limitsOf returns the limits of a team at a node whose tokens are used for up to maxAge after they have been taken. The rate does not
// depend on maxAge, so a node may continue with the share of another one.
func (p Policy) limitsOf(t intent.Team, maxAge time.Duration) limits {
	tolerance := 1 + p.Overrun
	l := limits{rate: t.Rate * tolerance, inWindow: (t.Rate*p.Window.Seconds()+t.Burst)*tolerance + p.Slack}
	longest := (p.Window + maxRootTokenAge).Seconds()
	l.rate = min(l.rate, l.inWindow/(longest+minSizeTime.Seconds()), max(0, l.inWindow-1)/longest)
	l.size = l.inWindow - l.rate*(p.Window+maxAge).Seconds()
	return l
}

// rule is what decides which teams are pooled at an instance.
type rule struct {
	// instances is the number of instances among which the limits are divided; zero while it is unknown.
	instances int
	// all is true if all teams are pooled, because callers are directed to some of the instances only.
	all bool
}

// pools reports whether a team with these limits is pooled under the rule.
func (p Policy) pools(l limits, r rule) bool {
	if !p.Enabled || r.instances <= 1 {
		return false
	}
	return r.all || l.inWindow/float64(r.instances) < p.MinPart
}

// holding is a part of every team's limit, as the number of instances whose shares it consists of.
type holding struct {
	// members is the number of instances with each rule. Each owns the part 1/instances of the limit of each team that is
	// pooled under its rule.
	members map[rule]int
	// except holds the parts of single teams' limits that are not included.
	except map[string]float64
}

func (h holding) equal(other holding) bool {
	return maps.Equal(h.members, other.members) && maps.Equal(h.except, other.except)
}

// add adds another holding.
func (h *holding) add(other holding) {
	if h.members == nil {
		h.members, h.except = map[rule]int{}, map[string]float64{}
	}
	for r, n := range other.members {
		h.members[r] += n
	}
	for team, part := range other.except {
		h.except[team] += part
	}
}

// part returns the part of a team's limit that the holding includes, from 0 to 1.
func (h holding) part(p Policy, team string, l limits) float64 {
	sum := 0.0
	for r, n := range h.members {
		if p.pools(l, r) {
			sum += float64(n) / float64(r.instances)
		}
	}
	return max(0, min(1, sum-h.except[team]))
}
