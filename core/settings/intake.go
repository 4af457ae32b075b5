package settings

import "time"

// EdgeIntake holds the limits on the memory that callers occupy, and on how slow they may be.
type EdgeIntake struct {
	// MemoryFraction is the fraction of memory.limit-mb that connections, heads, bodies and responses of callers may occupy on
	// all servers together. RequestShare, LookupShare and ProbeShare are the parts of it that only requests, only lookups, and
	// only readiness checks and scrapes of metrics may use; what they leave is for all. BodyShare is the fraction of what requests
	// may use now that bodies may fill.
	MemoryFraction float64 `yaml:"memory-fraction"`
	RequestShare   float64 `yaml:"request-share"`
	LookupShare    float64 `yaml:"lookup-share"`
	ProbeShare     float64 `yaml:"probe-share"`
	BodyShare      float64 `yaml:"body-share"`
	// MaxFields is the largest number of lines in the head of a request.
	MaxFields int `yaml:"max-fields"`
	// A caller must send or read MinProgress bytes, or all that is left, within each StallTime for which the instance waits for
	// it. If memory is short, its connection is closed after EvictAfter with less.
	MinProgress int           `yaml:"min-progress"`
	StallTime   time.Duration `yaml:"stall-time"`
	EvictAfter  time.Duration `yaml:"evict-after"`
	// BodyTimeout is the time within which a body must have arrived: whole up to 512 KiB, its first 64 KiB if it is larger.
	BodyTimeout time.Duration `yaml:"body-timeout"`
}

func defaultEdgeIntake() EdgeIntake {
	return EdgeIntake{
		MemoryFraction: 0.25, RequestShare: 0.5, LookupShare: 0.2, ProbeShare: 0.05, BodyShare: 0.75, MaxFields: 2000, MinProgress: 1 << 10, StallTime: 10 * time.Second,
		EvictAfter: time.Second, BodyTimeout: time.Minute,
	}
}

func (i EdgeIntake) check(c *checker) {
	for _, f := range []struct {
		setting string
		value   float64
	}{
		{"intake.memory-fraction", i.MemoryFraction},
		{"intake.request-share", i.RequestShare},
		{"intake.lookup-share", i.LookupShare},
		{"intake.probe-share", i.ProbeShare},
		{"intake.body-share", i.BodyShare},
	} {
		c.require(f.value > 0 && f.value < 1, f.setting, "must be above 0 and below 1")
	}
	c.require(i.RequestShare+i.LookupShare+i.ProbeShare <= 1, "intake.request-share",
		"must be at most 1 together with intake.lookup-share and intake.probe-share")
	c.require(i.MaxFields > 0, "intake.max-fields", "must be positive")
	c.require(i.MinProgress > 0, "intake.min-progress", "must be a positive number of bytes")
	c.require(i.StallTime > 0, "intake.stall-time", "must be a positive duration such as 10s")
	c.require(i.EvictAfter > 0 && i.EvictAfter <= i.StallTime, "intake.evict-after", "must be positive, at most intake.stall-time")
	c.require(i.BodyTimeout > 0, "intake.body-timeout", "must be a positive duration such as 1m")
}
