package settings

import (
	"net/url"
	"time"
)

// Platform holds the settings of the client of the platform's store.
type Platform struct {
	// URL is the base URL of the HTTP API.
	URL string `yaml:"url"`
	// CallTimeout bounds each call that does not wait for changes.
	CallTimeout time.Duration `yaml:"call-timeout"`
}

func defaultPlatform() Platform { return Platform{CallTimeout: time.Second} }

func (p Platform) check(c *checker) {
	u, err := url.Parse(p.URL)
	c.require(err == nil && u.Scheme == "http" && u.Host != "", "platform.url",
		"is missing or impossible; write a URL such as http://127.0.0.1:8500")
	c.require(p.CallTimeout > 0, "platform.call-timeout", "must be a positive duration such as 1s")
}
