package settings

import "time"

// Requests holds the limits on the requests of callers.
type Requests struct {
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `yaml:"header-timeout"`
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int `yaml:"max-header-bytes"`
	// IdleTimeout is the idle time after which a caller's connection is closed.
	IdleTimeout time.Duration `yaml:"idle-timeout"`
	// LookupTTL is how long callers may cache the response to a lookup.
	LookupTTL time.Duration `yaml:"lookup-ttl"`
}

func defaultRequests() Requests {
	return Requests{
		HeaderTimeout:  5 * time.Second,
		MaxHeaderBytes: 64 << 10,
		IdleTimeout:    90 * time.Second,
		LookupTTL:      5 * time.Second,
	}
}

func (r Requests) check(c *checker) {
	c.require(r.HeaderTimeout > 0, "requests.header-timeout", "must be a positive duration such as 5s")
	c.require(r.MaxHeaderBytes >= 1<<10, "requests.max-header-bytes", "must be at least 1024")
	c.require(r.IdleTimeout > 0, "requests.idle-timeout", "must be a positive duration such as 90s")
	c.require(r.LookupTTL >= time.Second, "requests.lookup-ttl", "must be at least 1s")
}
