package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// Edge holds the validated settings of an instance that is run by a platform. The instance reads everything else from the
// platform's store.
type Edge struct {
	Instance Instance   `yaml:"instance"`
	Listen   EdgeListen `yaml:"listen"`
	// FailureDomains maps every failure domain in which there are callers to its region.
	FailureDomains map[string]string `yaml:"failure-domains"`
	Store          EdgeStore         `yaml:"store"`
	Memory         EdgeMemory        `yaml:"memory"`
	Capacity       EdgeCapacity      `yaml:"capacity"`
	Stop           EdgeStop          `yaml:"stop"`
	Bounds         EdgeBounds        `yaml:"bounds"`
	Placement      EdgePlacement     `yaml:"placement"`
	Rates          EdgeRates         `yaml:"rates"`
	Requests       EdgeRequests      `yaml:"requests"`
	Intake         EdgeIntake        `yaml:"intake"`
	Hedging        EdgeHedging       `yaml:"hedging"`
	Log            Log               `yaml:"log"`
}

// EdgeListen holds the listen addresses of an instance: an IP address and a port each.
type EdgeListen struct {
	// Caller receives requests of callers, Lookup their lookups of the instance to connect to.
	Caller string `yaml:"caller"`
	Lookup string `yaml:"lookup"`
	// Ready receives the platform's readiness checks, Metrics the scrapes of metrics.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// Peer receives the calls of other instances; empty for an instance that does not accept such calls.
	Peer string `yaml:"peer"`
}

// EdgeStore holds the settings of the client of the platform's store.
type EdgeStore struct {
	// Address is an IP address and a port.
	Address string `yaml:"address"`
	// CallTimeout bounds a call that does not wait for changes.
	CallTimeout time.Duration `yaml:"call-timeout"`
	// LeaseTTL is how long the store keeps the registration of an instance that has died.
	LeaseTTL time.Duration `yaml:"lease-ttl"`
	// TargetWait is how long a watch for changes of targets and instances waits.
	TargetWait time.Duration `yaml:"target-wait"`
	// InstanceBatchDelay is the pause after a change of what instances write, during which further changes are collected into
	// one batch. At most half of ContactWithin, as instances learn through these changes which requests crash targets.
	InstanceBatchDelay time.Duration `yaml:"instance-batch"`
	// SettleTime is how long after a store outage the targets and instances that the store lacks are still regarded as
	// existing.
	SettleTime time.Duration `yaml:"settle-time"`
}

// EdgeMemory bounds the memory of the process.
type EdgeMemory struct {
	// LimitMB is the memory limit of the platform in megabytes; the garbage collector aims to keep the process below
	// LimitFraction of it.
	LimitMB       int     `yaml:"limit-mb"`
	LimitFraction float64 `yaml:"limit-fraction"`
	// MaxDescriptors is the number of file descriptors that the process may have open; zero stands for the process's own limit.
	MaxDescriptors int `yaml:"max-descriptors"`
	// CollectorPercent is how much the heap may grow between two garbage collections, in percent.
	CollectorPercent int `yaml:"collector-percent"`
}

// EdgeCapacity describes the machine of an instance. Zeros mean unknown.
type EdgeCapacity struct {
	// CPUShare is the share of each of its cores that the process may use, from 0 to 1.
	CPUShare float64 `yaml:"cpu-share"`
	Cores    float64 `yaml:"cores"`
	// LinkMbps is the rate of the machine's link in megabits per second.
	LinkMbps float64 `yaml:"link-mbps"`
}

// linkMbpsPerCore is the rate of a link that carries the requests which one core can handle: a few kilobytes each, with a
// quarter of a millisecond of processor time.
const linkMbpsPerCore = 250

// Relative returns the capacity for the requests of callers in cores, bounded by the link; zero if it is unknown.
func (c EdgeCapacity) Relative() float64 {
	return min(c.CPUShare*c.Cores, c.LinkMbps/linkMbpsPerCore)
}

// EdgeStop holds the times of the shutdown of an instance.
type EdgeStop struct {
	// Grace is the time between the stop signal and the forced end of the process; Margin is the part of it that is kept in
	// reserve.
	Grace  time.Duration `yaml:"grace"`
	Margin time.Duration `yaml:"margin"`
	// LookupTTL is how long callers may cache the response to a lookup; some callers cache it up to CacheFactor times longer.
	LookupTTL   time.Duration `yaml:"lookup-ttl"`
	CacheFactor float64       `yaml:"cache-factor"`
}

// EdgeBounds holds the operators' bounds on the behavior of all instances together.
type EdgeBounds struct {
	// RevokeWithin is the time within which a revoked key must stop working.
	RevokeWithin time.Duration `yaml:"revoke-within"`
	// ContactWithin is the time after the end of an outage or a partition within which an instance must know what has
	// changed in the meantime.
	ContactWithin time.Duration `yaml:"contact-within"`
	// RetryRatio and RetryReserve bound the retries to a service by all instances together: a fraction of its requests plus
	// a fixed number.
	RetryRatio   float64 `yaml:"retry-ratio"`
	RetryReserve float64 `yaml:"retry-reserve"`
	// RateWindow is the time over which a team's requests are counted. RateOverrun and RateSlack are the tolerance above
	// the team's limit: a fraction of the allowed requests plus a fixed number of requests.
	RateWindow  time.Duration `yaml:"rate-window"`
	RateOverrun float64       `yaml:"rate-overrun"`
	RateSlack   float64       `yaml:"rate-slack"`
	// DrainWithin is the time after which a leaving target must receive no more requests.
	DrainWithin time.Duration `yaml:"drain-within"`
	// EvacuateWithin is the time after which an evacuated failure domain must receive no more requests.
	EvacuateWithin time.Duration `yaml:"evacuate-within"`
	// RegionShift is the largest fraction of a region's requests that may move to targets in another region within two
	// seconds.
	RegionShift float64 `yaml:"region-shift"`
}

// EdgeRates holds the parameters of the division of teams' rates among the instances.
type EdgeRates struct {
	// Pooling permits that instances share their parts of the rates. Otherwise each instance keeps its part. All instances must have
	// the same setting.
	Pooling bool `yaml:"pooling"`
	// MinPart is the number of requests in bounds.rate-window below which the part of an instance is shared.
	MinPart float64 `yaml:"min-part"`
}

// EdgePlacement holds the parameters of the choice of targets.
type EdgePlacement struct {
	// Objects is the number of objects of a service that the callers of one region use at the same time. With few slots per
	// object, an object has one target for all callers of a region; with more, one for the callers of each failure domain. Zero:
	// the number is learned from requests.
	Objects int `yaml:"objects"`
	// Candidates is the largest number of targets that are compared for one request.
	Candidates int `yaml:"candidates"`
	// RankCost, DomainCost and RegionCost are penalties in multiples of the latency goal: for each step down an object's
	// ranking of targets, for leaving the failure domain, and for leaving the region.
	RankCost   float64 `yaml:"rank-cost"`
	DomainCost float64 `yaml:"domain-cost"`
	RegionCost float64 `yaml:"region-cost"`
}

// EdgeRequests holds the limits on requests.
type EdgeRequests struct {
	// HeaderTimeout, IdleTimeout and MaxHeaderBytes apply unless the intent sets other limits for callers.
	HeaderTimeout  time.Duration `yaml:"header-timeout"`
	IdleTimeout    time.Duration `yaml:"idle-timeout"`
	MaxHeaderBytes int           `yaml:"max-header-bytes"`
	// MaxTries is the largest number of targets to which one request is offered, including those that do not run it.
	MaxTries int `yaml:"max-tries"`
	// SafeIdle and UnsafeIdle are the longest times that a connection may have been idle to be reused, for idempotent and
	// for non-idempotent requests.
	SafeIdle   time.Duration `yaml:"safe-idle"`
	UnsafeIdle time.Duration `yaml:"unsafe-idle"`
	// UrgentQueuePerSlot and OtherQueuePerSlot are the numbers of requests per slot that may wait at a target, for the most
	// and for the least urgent requests of a service.
	UrgentQueuePerSlot float64 `yaml:"urgent-room"`
	OtherQueuePerSlot  float64 `yaml:"other-room"`
}

// EdgeHedging holds the parameters of hedges: second attempts of idempotent requests that are sent to another target while the
// first one is still running.
type EdgeHedging struct {
	// Ratio is the largest share of a route's requests that may be hedged, at most maxHedgingRatio; zero turns hedging off.
	Ratio float64 `yaml:"ratio"`
	// Quantile is the quantile of the route's response times after which a hedge is sent.
	Quantile float64 `yaml:"quantile"`
}

const (
	// maxHedgingRatio bounds the extra work of targets.
	maxHedgingRatio = 0.2
	// minHedgingQuantile and maxHedgingQuantile are bounds on the quantile: below the median, hedging would double the work if the
	// ratio permitted it, and the 100 responses from which the quantile is learned at least do not tell higher ones.
	minHedgingQuantile = 0.5
	maxHedgingQuantile = 0.99
)

// LoadEdge reads and validates the settings file of an edge instance.
func LoadEdge(path string) (Edge, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, trace.ConvertSystemError(err)
	}
	return ParseEdge(path, content)
}

// ParseEdge parses and validates the content of a settings file of an edge instance. The name appears in its errors.
func ParseEdge(name string, content []byte) (Edge, error) {
	e := defaultEdge()
	if err := parse(name, content, &e, func(c *checker) { e.check(c) }); err != nil {
		return Edge{}, err
	}
	return e, nil
}

func defaultEdge() Edge {
	return Edge{
		Store: EdgeStore{
			CallTimeout: time.Second, LeaseTTL: 3 * time.Second, TargetWait: 10 * time.Second, InstanceBatchDelay: 800 * time.Millisecond,
			SettleTime: 2100 * time.Millisecond,
		},
		Memory: EdgeMemory{LimitMB: 256, LimitFraction: 0.7, CollectorPercent: 60},
		Stop: EdgeStop{
			Grace: 6 * time.Second, Margin: 150 * time.Millisecond, LookupTTL: 1500 * time.Millisecond, CacheFactor: 3,
		},
		Bounds: EdgeBounds{
			RevokeWithin: 5 * time.Second, ContactWithin: 3 * time.Second, RetryRatio: 0.2, RetryReserve: 50, RateWindow: 5 * time.Second, RateOverrun: 0.1, RateSlack: 20,
			DrainWithin: 2 * time.Second, EvacuateWithin: 5 * time.Second, RegionShift: 0.15,
		},
		Placement: EdgePlacement{Objects: 40, Candidates: 6, RankCost: 0.05, DomainCost: 0.1, RegionCost: 0.2},
		Rates:     EdgeRates{Pooling: true, MinPart: 20},
		Requests: EdgeRequests{
			HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10, MaxTries: 4,
			SafeIdle: 9 * time.Second, UnsafeIdle: 8 * time.Second, UrgentQueuePerSlot: 2, OtherQueuePerSlot: 1.5,
		},
		Intake:  defaultEdgeIntake(),
		Hedging: EdgeHedging{Quantile: 0.95},
		Log:     Log{Level: "info"},
	}
}

func (e Edge) check(c *checker) {
	e.Instance.check(c)
	const fix = "is missing or impossible; write an IP number and a port, such as 127.0.0.1:7001"
	for _, a := range []struct{ setting, address string }{
		{"listen.caller", e.Listen.Caller},
		{"listen.lookup", e.Listen.Lookup},
		{"listen.ready", e.Listen.Ready},
		{"listen.metrics", e.Listen.Metrics},
		{"store.address", e.Store.Address},
		{"listen.peer", e.Listen.Peer},
	} {
		_, err := netip.ParseAddrPort(a.address)
		c.require(err == nil || (a.address == "" && a.setting == "listen.peer"), a.setting, fix)
	}
	c.require(e.FailureDomains[e.Instance.FailureDomain] == e.Instance.Region, "failure-domains",
		"must name the failure domain of the instance with its region")
	e.checkTimes(c)
	e.checkNumbers(c)
	e.Intake.check(c)
	e.Log.check(c)
}

func (e Edge) checkTimes(c *checker) {
	for _, d := range []struct {
		setting string
		value   time.Duration
	}{
		{"store.call-timeout", e.Store.CallTimeout},
		{"store.lease-ttl", e.Store.LeaseTTL},
		{"store.target-wait", e.Store.TargetWait},
		{"stop.grace", e.Stop.Grace},
		{"stop.lookup-ttl", e.Stop.LookupTTL},
		{"bounds.revoke-within", e.Bounds.RevokeWithin},
		{"bounds.contact-within", e.Bounds.ContactWithin},
		{"bounds.rate-window", e.Bounds.RateWindow},
		{"bounds.drain-within", e.Bounds.DrainWithin},
		{"bounds.evacuate-within", e.Bounds.EvacuateWithin},
		{"requests.header-timeout", e.Requests.HeaderTimeout},
		{"requests.idle-timeout", e.Requests.IdleTimeout},
		{"requests.safe-idle", e.Requests.SafeIdle},
		{"requests.unsafe-idle", e.Requests.UnsafeIdle},
	} {
		c.require(d.value > 0, d.setting, "must be a positive duration such as 1.5s")
	}
	c.require(e.Store.InstanceBatchDelay >= 0 && e.Store.InstanceBatchDelay <= e.Bounds.ContactWithin/2, "store.instance-batch",
		"must be at most half of bounds.contact-within")
	c.require(e.Stop.Margin >= 0 && e.Stop.Margin < e.Stop.Grace, "stop.margin", "must be less than stop.grace")
}

func (e Edge) checkNumbers(c *checker) {
	c.require(e.Capacity.CPUShare >= 0 && e.Capacity.CPUShare <= 1, "capacity.cpu-share", "must be from 0 to 1")
	c.require(e.Capacity.Cores >= 0, "capacity.cores", "must not be negative")
	c.require(e.Capacity.LinkMbps >= 0, "capacity.link-mbps", "must not be negative")
	c.require(e.Memory.MaxDescriptors >= 0, "memory.max-descriptors", "must not be negative")
	c.require(e.Memory.LimitMB > 0, "memory.limit-mb", "must be a positive number of megabytes")
	c.require(e.Memory.LimitFraction > 0 && e.Memory.LimitFraction <= 1, "memory.limit-fraction", "must be above 0, at most 1")
	for _, n := range []struct {
		setting string
		value   float64
	}{
		{"bounds.retry-ratio", e.Bounds.RetryRatio},
		{"bounds.retry-reserve", e.Bounds.RetryReserve},
		{"bounds.rate-overrun", e.Bounds.RateOverrun},
		{"bounds.rate-slack", e.Bounds.RateSlack},
		{"bounds.region-shift", e.Bounds.RegionShift},
		{"rates.min-part", e.Rates.MinPart},
		{"placement.rank-cost", e.Placement.RankCost},
		{"placement.domain-cost", e.Placement.DomainCost},
		{"placement.region-cost", e.Placement.RegionCost},
		{"requests.urgent-room", e.Requests.UrgentQueuePerSlot},
		{"requests.other-room", e.Requests.OtherQueuePerSlot},
	} {
		c.require(n.value >= 0, n.setting, "must not be negative")
	}
	c.require(e.Placement.Objects >= 0, "placement.objects", "must not be negative; 0 learns the number from requests")
	c.require(e.Placement.Candidates > 0, "placement.candidates", "must be positive")
	c.require(e.Requests.MaxTries > 0, "requests.max-tries", "must be positive")
	c.require(e.Hedging.Ratio >= 0 && e.Hedging.Ratio <= maxHedgingRatio, "hedging.ratio", "must be from 0, which turns hedging off, to 0.2")
	c.require(e.Hedging.Quantile >= minHedgingQuantile && e.Hedging.Quantile <= maxHedgingQuantile, "hedging.quantile",
		"must be from 0.5 to 0.99")
	c.require(e.Requests.MaxHeaderBytes > 0, "requests.max-header-bytes", "must be positive")
}
