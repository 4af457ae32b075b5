// Package intent holds what operators want of an edge instance: routes, services, teams, keys and limits of callers, all
// of one version.
package intent

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Part is one service that takes a share of a route's requests.
type Part struct {
	// Service names a service of the same intent.
	Service string
	// Weight is the share relative to the other parts; positive.
	Weight float64
}

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts has at least one element.
	Parts []Part
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout bounds the time from the arrival of a request to its final answer; positive.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is worth most; positive.
	LatencyGoal time.Duration
	// MaxAttempts bounds the targets that may run one request; at least 1.
	MaxAttempts int
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int
	// Open is true for a route that needs no key.
	Open bool
	// Sticky is true if a target serves an object faster that it has served recently.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; empty permits all.
	HomeRegions []string
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that a cold target tolerates from all instances; zero sets no bound.
	ColdRate float64
}

// Team is a customer whose requests count together.
type Team struct {
	Name string
	// Priority goes before the priority of a route; 0 is the most urgent.
	Priority int
	// Rate is in requests a second across all instances; zero sets no limit.
	Rate float64
	// Burst is the number of requests that may come at once across all instances.
	Burst float64
	// HomeRegions are the only regions that may serve the team; empty permits all.
	HomeRegions []string
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes bounds a request body; zero sets no bound.
	BodyBytes int64
}

// Intent is one version of all that operators want; it never changes.
type Intent struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	teams    map[string]Team
	// keys maps each key to the name of its team.
	keys map[string]string
	// hosts maps each host to its routes, the longest prefix first.
	hosts map[string][]*Route
	// teamRanks and routeRanks hold the priorities that occur, ascending; routeRanks by service.
	teamRanks  []int
	routeRanks map[string][]int
	// homed is what Homed returns.
	homed map[string]float64
}

// Content is what an intent is made from.
type Content struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	Teams    []Team
	// Keys maps each key to the name of its team.
	Keys map[string]string
}

// New checks the content and returns it as an intent.
func New(c Content) (*Intent, error) {
	i := &Intent{
		Version: c.Version, Limits: c.Limits, keys: c.Keys,
		services: map[string]Service{}, teams: map[string]Team{}, hosts: map[string][]*Route{},
		routeRanks: map[string][]int{}, homed: homed(c.Teams),
	}
	for _, s := range c.Services {
		i.services[s.Name] = s
	}
	for _, t := range c.Teams {
		i.teams[t.Name] = t
		i.teamRanks = withRank(i.teamRanks, t.Priority)
	}
	for key, team := range c.Keys {
		if _, ok := i.teams[team]; !ok {
			return nil, fmt.Errorf("a key of %d bytes belongs to the unknown team %q", len(key), team)
		}
	}
	for n := range c.Routes {
		r := &c.Routes[n]
		if err := i.check(r); err != nil {
			return nil, err
		}
		i.hosts[r.Host] = append(i.hosts[r.Host], r)
		for _, p := range r.Parts {
			i.routeRanks[p.Service] = withRank(i.routeRanks[p.Service], r.Priority)
		}
	}
	for _, routes := range i.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return i, nil
}

func (i *Intent) check(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case len(r.Parts) == 0:
		return fmt.Errorf("route %q has no service", r.Name)
	case r.Timeout <= 0 || r.LatencyGoal <= 0:
		return fmt.Errorf("route %q has timeout %v and latency goal %v; both must be positive", r.Name, r.Timeout, r.LatencyGoal)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts; at least 1 is needed", r.Name, r.MaxAttempts)
	}
	for _, p := range r.Parts {
		if _, ok := i.services[p.Service]; !ok {
			return fmt.Errorf("route %q names the unknown service %q", r.Name, p.Service)
		}
		if p.Weight <= 0 {
			return fmt.Errorf("service %q of route %q has weight %v; it must be positive", p.Service, r.Name, p.Weight)
		}
	}
	return nil
}

func withRank(ranks []int, priority int) []int {
	at, found := slices.BinarySearch(ranks, priority)
	if found {
		return ranks
	}
	return slices.Insert(ranks, at, priority)
}

// Urgency returns how urgent a request is among those of its service, from 0 to 1 for the most urgent. The priority of
// the team goes before that of the route; a team without a name has the least urgent priority.
func (i *Intent) Urgency(t Team, r *Route, service string) float64 {
	routes := i.routeRanks[service]
	route, _ := slices.BinarySearch(routes, r.Priority)
	team := len(i.teamRanks) - 1
	if t.Name != "" {
		team, _ = slices.BinarySearch(i.teamRanks, t.Priority)
	}
	steps := max(len(i.teamRanks), 1)*len(routes) - 1
	if steps <= 0 {
		return 1
	}
	return 1 - float64(max(team, 0)*len(routes)+route)/float64(steps)
}

// RouteOf returns the route of a host with the longest prefix that begins the path.
func (i *Intent) RouteOf(host, path string) (*Route, bool) {
	for _, r := range i.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamOf returns the team that holds a key.
func (i *Intent) TeamOf(key string) (Team, bool) {
	name, ok := i.keys[key]
	if !ok {
		return Team{}, false
	}
	return i.teams[name], true
}

// Homed returns the part of all requests that must be served in a region, by region, as far as the rates of teams tell.
func (i *Intent) Homed() map[string]float64 { return i.homed }

func homed(teams []Team) map[string]float64 {
	rates, total := map[string]float64{}, 0.0
	for _, t := range teams {
		total += t.Rate
		for _, region := range t.HomeRegions {
			rates[region] += t.Rate / float64(len(t.HomeRegions))
		}
	}
	if total > 0 {
		for region := range rates {
			rates[region] /= total
		}
	}
	return rates
}

// Service returns a service by name.
func (i *Intent) Service(name string) (Service, bool) {
	s, ok := i.services[name]
	return s, ok
}
