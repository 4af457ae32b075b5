package resource

// Region is a location that contains failure domains.
type Region struct {
	// Capacity is the number of requests that may run concurrently in the region; positive.
	Capacity int `json:"capacity"`
}

// FailureDomain is a part of a region that fails independently of the others.
type FailureDomain struct {
	// Region names an existing region.
	Region string `json:"region"`
	// Capacity is the number of requests that may run concurrently in the failure domain; zero means that only the
	// capacity of the region applies.
	Capacity int `json:"capacity,omitempty"`
}

// Link is the bandwidth budget for traffic from one region to another.
type Link struct {
	// From and To name different regions.
	From string `json:"from"`
	To   string `json:"to"`
	// BytesPerSecond is the budget in this direction; positive.
	BytesPerSecond int64 `json:"bytes-per-second"`
}

// Service is a set of interchangeable targets.
type Service struct {
	// Regions names the regions that may serve it; empty permits all.
	Regions []string `json:"regions,omitempty"`
	// RequestTimeout bounds a request from its arrival to the end of its response; positive.
	RequestTimeout Duration `json:"request-timeout"`
	// QueueTimeout bounds the wait for a free target; with zero a request is rejected immediately if none is free.
	QueueTimeout Duration `json:"queue-timeout,omitempty"`
	// MaxBodyBytes bounds a request body; positive.
	MaxBodyBytes int64 `json:"max-body-bytes"`
	// RequestBytes is the typical size of a request and its response together, charged to links; zero charges nothing.
	RequestBytes int64 `json:"request-bytes,omitempty"`
	// IdempotentMethods lists the methods that may run more than once; empty means GET, HEAD, OPTIONS.
	IdempotentMethods []string `json:"idempotent-methods,omitempty"`
	// Shedding describes the response by which a target signals that it has not run a request; nil means that targets
	// never signal this.
	Shedding *Shedding `json:"shedding,omitempty"`
	// ProbePath is the path of the targets' health endpoint; empty means no probes.
	ProbePath string `json:"probe-path,omitempty"`
	// ColdRamp is how long a new target takes to reach its full share of requests; zero means immediately.
	ColdRamp Duration `json:"cold-ramp,omitempty"`
}

// Shedding is the response by which a target rejects a request that it has not run.
type Shedding struct {
	// Status is the status code of such a response.
	Status int `json:"status"`
	// Header must be present in such a response.
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
	// Slots is the number of requests that the target runs concurrently; positive.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts; at least Slots.
	Connections int `json:"connections"`
	// Leaving is true for a target that must receive no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Team is a customer; the requests of all its keys count against the same rate limit.
type Team struct {
	// Rate is the limit in requests per second across all instances; positive.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may arrive at once across all instances; at least 1.
	Burst float64 `json:"burst"`
	// Weight is the team's share of the capacity under overload, relative to other teams; positive.
	Weight float64 `json:"weight"`
}

// Key is an API key, which authenticates its holder as a team.
type Key struct {
	// Team names an existing team.
	Team string `json:"team"`
	// Hash is the lower-case hexadecimal SHA-256 of the key; the key itself is never stored.
	Hash string `json:"hash"`
}

// Route maps a path prefix to a service.
type Route struct {
	// Path is the path prefix that requests must have; it starts with a slash.
	Path string `json:"path"`
	// Service names an existing service.
	Service string `json:"service"`
	// Open is true for a route that needs no API key.
	Open bool `json:"open,omitempty"`
	// Teams lists the teams that may call the route; empty permits every team.
	Teams []string `json:"teams,omitempty"`
}

// Shift limits how much of a service's traffic may move from one region to another.
type Shift struct {
	// Service names an existing service.
	Service string `json:"service"`
	// From and To name different regions.
	From string `json:"from"`
	To   string `json:"to"`
	// Cap is the most traffic that may move, in requests per second across all instances.
	Cap float64 `json:"cap"`
	// Pace is how fast the permitted amount grows to Cap, in requests per second each second; zero means immediately.
	Pace float64 `json:"pace,omitempty"`
}

// ClientBlock maps a block of client addresses to the failure domain that is nearest to it.
type ClientBlock struct {
	// Prefix is an IP prefix such as 192.0.2.0/24.
	Prefix string `json:"prefix"`
	// FailureDomain names an existing failure domain.
	FailureDomain string `json:"failure-domain"`
}
