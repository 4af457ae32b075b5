package settings

import "net/netip"

// Listen holds the listen addresses of an instance: an IP address and a port each.
type Listen struct {
	// Caller receives lookups and requests of callers.
	Caller string `yaml:"caller"`
	// Operator receives the resource API, metrics and health checks.
	Operator string `yaml:"operator"`
	// Peer receives calls of other instances.
	Peer string `yaml:"peer"`
}

func (l Listen) check(c *checker) {
	const fix = "is missing or impossible; write an IP number and a port, such as 127.0.0.1:7001"
	for _, listener := range []struct{ setting, address string }{
		{"listen.caller", l.Caller},
		{"listen.operator", l.Operator},
		{"listen.peer", l.Peer},
	} {
		_, err := netip.ParseAddrPort(listener.address)
		c.require(err == nil, listener.setting, fix)
	}
	c.require(l.Caller != l.Operator && l.Operator != l.Peer && l.Caller != l.Peer || l.Caller == "",
		"listen", "the three addresses must differ")
}
