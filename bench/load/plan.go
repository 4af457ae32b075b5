// Package load sends an open-loop schedule of requests to a fleet, causes faults by a plan, and reports what callers saw.
package load

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	yaml "github.com/goccy/go-yaml"
)

// The bounds of every plan.
const (
	MaxDuration = time.Minute
	MaxRequests = 1_000_000
)

// Plan says what to send, for how long, and what to break meanwhile.
type Plan struct {
	// Duration is how long requests are scheduled; at most a minute.
	Duration time.Duration `yaml:"duration"`
	// MaxRequests ends the schedule early; at most a million.
	MaxRequests int `yaml:"max-requests"`
	// Seed fixes the schedule.
	Seed uint64 `yaml:"seed"`
	// Entries are the caller addresses that look-ups are sent to.
	Entries []string `yaml:"entries"`
	// Spread is first or round-robin: which of the located instances requests use.
	Spread string `yaml:"spread"`
	// Targets are the stand-in targets whose counters are read; empty reads none.
	Targets []string `yaml:"targets"`
	Teams   []Team   `yaml:"teams"`
	Faults  []Fault  `yaml:"faults"`
}

// Team is a customer with a key and a mix of requests.
type Team struct {
	Name string `yaml:"name"`
	// Key is sent with each request; empty on routes that are open to all.
	Key string `yaml:"key"`
	// Rate and Burst are what the team may send; a refusal within them counts as wrongful.
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
	// Requests are the streams of the team, each with its own schedule.
	Requests []Stream `yaml:"requests"`
}

// Stream is a kind of request with its rate.
type Stream struct {
	Service string `yaml:"service"`
	Method  string `yaml:"method"`
	Path    string `yaml:"path"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `yaml:"body-bytes"`
	// Timeout bounds each request, from the time when it was due.
	Timeout time.Duration `yaml:"timeout"`
	// PerSecond is the mean rate; arrivals are random and independent.
	PerSecond float64 `yaml:"per-second"`
	// From and Until bound the stream within the plan; a zero Until means its end.
	From  time.Duration `yaml:"from"`
	Until time.Duration `yaml:"until"`
}

// Fault is one thing that happens at a time of the plan; one of Process and Platform is set.
type Fault struct {
	At time.Duration `yaml:"at"`
	// Process names a process that the command line gives the number of; Signal is stop, continue, terminate or kill.
	Process string `yaml:"process"`
	Signal  string `yaml:"signal"`
	// Platform is the address of the stand-in platform's faults, and Set the ones to switch on; all others go off.
	Platform string         `yaml:"platform"`
	Set      map[string]any `yaml:"set"`
}

// ErrInvalid is returned for a plan that cannot be run.
type ErrInvalid struct {
	Setting, Fix string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return e.Setting + ": " + e.Fix }

// ReadPlan reads and checks a plan.
func ReadPlan(file string) (Plan, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(content)
}

// ParsePlan checks the content of a plan.
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
	c.require(len(p.Entries) > 0, "entries", "name at least one instance")
	for _, address := range append(p.Entries[:len(p.Entries):len(p.Entries)], p.Targets...) {
		c.address("entries and targets", address)
	}
	c.require(len(p.Teams) > 0, "teams", "name at least one team")
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
	c.require((f.Process == "") != (f.Platform == ""), "faults", "name either a process or a platform")
	if f.Process != "" {
		_, ok := signals[f.Signal]
		c.require(ok, "faults.signal", "must be stop, continue, terminate or kill")
		return
	}
	c.address("faults.platform", f.Platform)
}

// checker keeps the first fault of a plan.
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
	c.require(err == nil, setting, fmt.Sprintf("%q is not an IP number and a port", address))
}
