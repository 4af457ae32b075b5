// Package load sends an open-loop schedule of requests to a fleet, injects faults at planned times, and reports the outcomes as
// seen by callers.
package load

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	yaml "github.com/goccy/go-yaml"
)

// Upper limits of every plan.
const (
	MaxDuration = time.Minute
	MaxRequests = 1_000_000
)

// Plan describes the requests to send, the limits of the run and the faults to inject.
type Plan struct {
	// Duration is the length of the schedule, at most a minute.
	Duration time.Duration `yaml:"duration"`
	// MaxRequests limits the number of scheduled requests; at most a million.
	MaxRequests int `yaml:"max-requests"`
	// Seed seeds the random arrival times; the same seed gives the same schedule.
	Seed uint64 `yaml:"seed"`
	// Entries are the caller addresses of the instances that lookups are sent to, in this order.
	Entries []string `yaml:"entries"`
	// Spread is first or round-robin: which of the instances from a lookup a request tries first.
	Spread string `yaml:"spread"`
	// Targets are the addresses of stand-in targets whose counters are read before and after the run.
	Targets []string `yaml:"targets"`
	Teams   []Team   `yaml:"teams"`
	Faults  []Fault  `yaml:"faults"`
}

// Team is a team with its API key, its limits and the requests that it sends.
type Team struct {
	Name string `yaml:"name"`
	// Key is the API key that is sent with each request; empty for routes that need none.
	Key string `yaml:"key"`
	// Rate, in requests per second, and Burst are the limits of the team; a refusal of a request within them counts as wrongful.
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
	// Requests are the request streams of the team, each with its own schedule.
	Requests []Stream `yaml:"requests"`
}

// Stream is a stream of identical requests with random arrival times.
type Stream struct {
	Service string `yaml:"service"`
	Method  string `yaml:"method"`
	Path    string `yaml:"path"`
	// BodyBytes is the size of the request body.
	BodyBytes int `yaml:"body-bytes"`
	// Timeout bounds each request, counted from its scheduled time.
	Timeout time.Duration `yaml:"timeout"`
	// PerSecond is the mean rate; arrivals are a Poisson process.
	PerSecond float64 `yaml:"per-second"`
	// From and Until are the start and end of the stream, from the start of the plan; a zero Until means the end of the plan.
	From  time.Duration `yaml:"from"`
	Until time.Duration `yaml:"until"`
}

// Fault is a fault to inject during the run: a signal to a process, or faults of the stand-in platform. Either Process or
// Platform is set.
type Fault struct {
	// At is the time from the start of the plan.
	At time.Duration `yaml:"at"`
	// Process is the name of a process whose PID is given on the command line. Signal is stop, continue, terminate or kill.
	Process string `yaml:"process"`
	Signal  string `yaml:"signal"`
	// Platform is the address of the stand-in platform's fault API. Set lists the faults to switch on; all others are switched off.
	Platform string         `yaml:"platform"`
	Set      map[string]any `yaml:"set"`
}

// ErrInvalid is returned for a plan that cannot be run. Fix says what to write instead.
type ErrInvalid struct {
	Setting, Fix string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return e.Setting + ": " + e.Fix }

// ReadPlan reads a plan from a YAML file and checks it.
func ReadPlan(file string) (Plan, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(content)
}

// ParsePlan parses a plan in YAML and checks it.
func ParsePlan(content []byte) (Plan, error) {
	var p Plan
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&p); err != nil {
		return Plan{}, err
	}
	return p, p.check()
}

func (p Plan) check() error {
	var c checker
	c.require(p.Duration > 0 && p.Duration <= MaxDuration, "duration", "must be positive and at most 1m")
	c.require(p.MaxRequests > 0 && p.MaxRequests <= MaxRequests, "max-requests", "must be from 1 to 1000000")
	c.require(p.Spread == spreadFirst || p.Spread == spreadRoundRobin, "spread", "must be first or round-robin")
	c.require(len(p.Entries) > 0, "entries", "must list at least one instance")
	for _, address := range append(p.Entries[:len(p.Entries):len(p.Entries)], p.Targets...) {
		c.address("entries and targets", address)
	}
	c.require(len(p.Teams) > 0, "teams", "must list at least one team")
	for _, t := range p.Teams {
		c.require(t.Name != "" && t.Rate > 0 && t.Burst >= 1, "teams", "each needs a name, a positive rate and a burst of at least 1")
		for _, s := range t.Requests {
			c.require(s.Service != "" && s.Path != "" && s.Method != "", "teams.requests", "each needs a service, a method and a path")
			c.require(s.PerSecond > 0 && s.Timeout > 0, "teams.requests", "each needs a positive per-second and timeout")
		}
	}
	for _, f := range p.Faults {
		f.check(&c)
	}
	return c.err
}

func (f Fault) check(c *checker) {
	c.require((f.Process == "") != (f.Platform == ""), "faults", "each needs either a process or a platform")
	if f.Process != "" {
		_, ok := signals[f.Signal]
		c.require(ok, "faults.signal", "must be stop, continue, terminate or kill")
		return
	}
	c.address("faults.platform", f.Platform)
}

// checker keeps the first error of a plan.
type checker struct {
	err error
}

func (c *checker) require(ok bool, setting, fix string) {
	if !ok && c.err == nil {
		c.err = &ErrInvalid{Setting: setting, Fix: fix}
	}
}

func (c *checker) address(setting, address string) {
	_, err := netip.ParseAddrPort(address)
	c.require(err == nil, setting, fmt.Sprintf("%q is not an IP address and a port", address))
}
