package resource

// Region is a place that holds failure domains.
type Region struct {
	// Capacity is the number of requests that may run in the region at once; positive.
	Capacity int `json:"capacity"`
}

// FailureDomain is a part of a region that fails on its own.
type FailureDomain struct {
	// Region names an existing region.
	Region string `json:"region"`
	// Capacity is the number of requests that may run in the failure domain at once; zero means only the region bounds it.
	Capacity int `json:"capacity,omitempty"`
}

// Link is the budget of the path from one region to another.
type Link struct {
	// From and To name different regions.
	From string `json:"from"`
	To   string `json:"to"`
	// BytesPerSecond is the budget in this direction; positive.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// Service is a set of targets that answer the same requests.
type Service struct {
	// Regions names the regions that may serve it; empty permits all.
	Regions []string `json:"regions,omitempty"`
	// RequestTimeout bounds a request from its arrival to the end of its answer; positive.
	RequestTimeout Duration `json:"request-timeout"`
	// QueueTimeout bounds the wait for a free target; zero refuses at once.
	QueueTimeout Duration `json:"queue-timeout,omitempty"`
	// MaxBodyBytes bounds a request body; positive.
	MaxBodyBytes int64 `json:"max-body-bytes"`
	// RequestBytes is the usual size of a request and its answer, charged to links; zero charges nothing.
	RequestBytes int64 `json:"request-bytes,omitempty"`
	// IdempotentMethods lists the methods that may run more than once; empty means GET, HEAD, OPTIONS.
	IdempotentMethods []string `json:"idempotent-methods,omitempty"`
	// Shedding describes how a target says that it has not run a request; nil means it never does.
	Shedding *Shedding `json:"shedding,omitempty"`
	// ProbePath is the health endpoint of its targets; empty means no probes.
	ProbePath string `json:"probe-path,omitempty"`
	// ColdRamp is how long a new target takes to reach its full share; zero means at once.
	ColdRamp Duration `json:"cold-ramp,omitempty"`
}

// Shedding is the answer by which a target refuses a request that it has not run.
type Shedding struct {
	// Status is the status code of such an answer.
	Status int `json:"status"`
	// Header must be present on such an answer.
	Header string `json:"header"`
}

// Target is one back end of a service.
type Target struct {
	// Service names an existing service.
	Service string `json:"service"`
	// FailureDomain names an existing failure domain.
	FailureDomain string `json:"failure-domain"`
	// Address is an IP address and port.
	Address string `json:"address"`
	// Slots is the number of requests that the target runs at once; positive.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts; positive.
	Connections int `json:"connections"`
	// Leaving is true for a target that must receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Team is a customer whose requests are counted together.
type Team struct {
	// Rate is in requests a second across all instances; positive.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may come at once across all instances; at least 1.
	Burst float64 `json:"burst"`
	// Weight is the team's part under overload relative to other teams; positive.
	Weight float64 `json:"weight"`
}

// Key lets its holder call for a team.
type Key struct {
	// Team names an existing team.
	Team string `json:"team"`
	// Hash is the lower-case hexadecimal SHA-256 of the key; the key itself is never stored.
	Hash string `json:"hash"`
}

// Route maps a path prefix to a service.
type Route struct {
	// Path is the prefix that requests must have; it starts with a slash.
	Path string `json:"path"`
	// Service names an existing service.
	Service string `json:"service"`
	// Open is true for a route that needs no key.
	Open bool `json:"open,omitempty"`
	// Teams lists who may call; empty permits every team.
	Teams []string `json:"teams,omitempty"`
}

// Shift bounds how much of a service's traffic may move from one region to another.
type Shift struct {
	// Service names an existing service.
	Service string `json:"service"`
	// From and To name different regions.
	From string `json:"from"`
	To   string `json:"to"`
	// Cap is the most that may move, in requests a second across all instances.
	Cap float64 `json:"cap"`
	// Pace is how fast the permitted amount grows to Cap, in requests a second for each second; zero means at once.
	Pace float64 `json:"pace,omitempty"`
}

// ClientBlock maps a block of client addresses to the failure domain that is nearest to it.
type ClientBlock struct {
	// Prefix is an IP prefix such as 192.0.2.0/24.
	Prefix string `json:"prefix"`
	// FailureDomain names an existing failure domain.
	FailureDomain string `json:"failure-domain"`
}
