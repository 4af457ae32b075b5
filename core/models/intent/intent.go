// Package intent holds the configuration that operators want an edge instance to apply: routes, services, teams, API keys
// and request limits, all of one version.
package intent

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"
)

// WeightedService refers to a service that receives a share of a route's requests.
type WeightedService struct {
	// Service is the name of a service in the same intent.
	Service string
	// Weight is the share of the requests relative to the other services of the route; positive.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services has at least one element.
	Services []WeightedService
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout bounds the time from the arrival of a request to its final response; positive.
	Timeout time.Duration
	// LatencyGoal is the response time to aim for, within which a response has its full value; positive.
	LatencyGoal time.Duration
	// MaxAttempts is the largest number of targets that may run one request; at least 1.
	MaxAttempts int
	// Priority ranks the requests of the route under overload; 0 is the most urgent.
	Priority int
	// Open is true for a route that needs no API key.
	Open bool
	// Sticky is true if a target responds faster for objects that it has served recently.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; empty permits all.
	HomeRegions []string
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// ColdRate is the number of requests per second, from all instances together, that a cold target can take; zero sets
	// no limit.
	ColdRate float64
}

// Team is a customer; the requests of all its keys count against the same rate limit.
type Team struct {
	Name string
	// Priority takes precedence over the priority of a route; 0 is the most urgent.
	Priority int
	// Rate is the limit in requests per second across all instances; zero sets no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once across all instances.
	Burst float64
	// HomeRegions are the only regions that may serve the team; empty permits all.
	HomeRegions []string
}

// Limits are the limits on requests and the connections of callers.
type Limits struct {
	// BodyBytes is the largest size of a request body; zero sets no limit.
	BodyBytes int64
	// HeaderBytes is the largest size of a header section, HeaderTimeout bounds the time until it has been received, and
	// IdleTimeout is how long a connection may stay open between requests. The settings apply for those that are zero.
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Intent is one version of the wanted configuration; it is immutable.
type Intent struct {
	Version uint64
	Limits  Limits
	// WithoutKeys is true if no route asks for an API key.
	WithoutKeys bool
	services    map[string]Service
	teams       map[string]Team
	// keys maps each API key to the name of its team.
	keys map[string]string
	// hosts maps each host to its routes, the longest prefix first.
	hosts map[string][]*Route
	// teamPriorities and routePriorities hold the distinct priorities in ascending order; routePriorities is keyed by service.
	teamPriorities  []int
	routePriorities map[string][]int
	// homeRegionShares is the result of HomeRegionShares.
	homeRegionShares map[string]float64
}

// Content is the input from which New builds an intent.
type Content struct {
	Version uint64
	Limits  Limits
	// WithoutKeys is true if no route asks for an API key. There are no teams and keys then.
	WithoutKeys bool
	Routes      []Route
	Services    []Service
	Teams       []Team
	// Keys maps each API key to the name of its team.
	Keys map[string]string
}

// New validates the content and returns it as an intent.
func New(c Content) (*Intent, error) {
	i := &Intent{
		Version: c.Version, Limits: c.Limits, WithoutKeys: c.WithoutKeys, keys: c.Keys,
		services: map[string]Service{}, teams: map[string]Team{}, hosts: map[string][]*Route{},
		routePriorities: map[string][]int{}, homeRegionShares: computeHomeRegionShares(c.Teams),
	}
	if c.WithoutKeys && len(c.Teams) > 0 {
		return nil, fmt.Errorf("routes ask for no API key although there are %d teams", len(c.Teams))
	}
	for _, s := range c.Services {
		i.services[s.Name] = s
	}
	for _, t := range c.Teams {
		i.teams[t.Name] = t
		i.teamPriorities = insertPriority(i.teamPriorities, t.Priority)
	}
	for key, team := range c.Keys {
		if _, ok := i.teams[team]; !ok {
			return nil, fmt.Errorf("a key of %d bytes belongs to the unknown team %q", len(key), team)
		}
	}
	for n := range c.Routes {
		r := &c.Routes[n]
		if err := i.validate(r); err != nil {
			return nil, err
		}
		i.hosts[r.Host] = append(i.hosts[r.Host], r)
		for _, s := range r.Services {
			i.routePriorities[s.Service] = insertPriority(i.routePriorities[s.Service], r.Priority)
		}
	}
	for _, routes := range i.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return i, nil
}

func (i *Intent) validate(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case len(r.Services) == 0:
		return fmt.Errorf("route %q has no service", r.Name)
	case r.Timeout <= 0 || r.LatencyGoal <= 0:
		return fmt.Errorf("route %q has timeout %v and latency goal %v; both must be positive", r.Name, r.Timeout, r.LatencyGoal)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts; at least 1 is needed", r.Name, r.MaxAttempts)
	}
	for _, s := range r.Services {
		if _, ok := i.services[s.Service]; !ok {
			return fmt.Errorf("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight <= 0 {
			return fmt.Errorf("service %q of route %q has weight %v; it must be positive", s.Service, r.Name, s.Weight)
		}
	}
	return nil
}

// insertPriority inserts a priority into an ascending list unless the list has it.
func insertPriority(priorities []int, priority int) []int {
	index, found := slices.BinarySearch(priorities, priority)
	if found {
		return priorities
	}
	return slices.Insert(priorities, index, priority)
}

// Urgency returns how urgent a request is among those for the service, from 0 for the least to 1 for the most urgent. The
// priority of the team takes precedence over that of the route. A request without a team has only the priority of its
// route; it ranks in the middle of the teams.
func (i *Intent) Urgency(t Team, r *Route, service string) float64 {
	routePriorities := i.routePriorities[service]
	routeRank, _ := slices.BinarySearch(routePriorities, r.Priority)
	teamRank := float64(max(len(i.teamPriorities)-1, 0)) / 2
	if t.Name != "" {
		rank, _ := slices.BinarySearch(i.teamPriorities, t.Priority)
		teamRank = float64(rank)
	}
	maxRank := max(len(i.teamPriorities), 1)*len(routePriorities) - 1
	if maxRank <= 0 {
		return 1
	}
	return 1 - (teamRank*float64(len(routePriorities))+float64(routeRank))/float64(maxRank)
}

// RouteOf returns the route of the host with the longest prefix that matches the path.
func (i *Intent) RouteOf(host, path string) (*Route, bool) {
	for _, r := range i.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamOf returns the team to which an API key belongs.
func (i *Intent) TeamOf(key string) (Team, bool) {
	name, ok := i.keys[key]
	if !ok {
		return Team{}, false
	}
	return i.teams[name], true
}

// Teams returns all teams in no particular order.
func (i *Intent) Teams() iter.Seq[Team] { return maps.Values(i.teams) }

// HomeRegionShares returns, by region, the estimated fraction of all requests that teams with home regions bind to that
// region. The estimate takes the configured rate of a team as its load and divides it evenly among its home regions.
func (i *Intent) HomeRegionShares() map[string]float64 { return i.homeRegionShares }

func computeHomeRegionShares(teams []Team) map[string]float64 {
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
