package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Peers holds the settings of the communication between instances.
type Peers struct {
	// Seeds are the peer addresses to contact if the store is unreachable at the start.
	Seeds []string `yaml:"seeds"`
	// CallTimeout bounds each call between instances.
	CallTimeout time.Duration `yaml:"call-timeout"`
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
}

func defaultPeers() Peers {
	return Peers{CallTimeout: 500 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond}
}

func (p Peers) check(c *checker) {
	for i, seed := range p.Seeds {
		_, err := netip.ParseAddrPort(seed)
		c.require(err == nil, fmt.Sprintf("peers.seeds[%d]", i), "write an IP number and a port, such as 127.0.0.1:7003")
	}
	c.require(p.CallTimeout > 0, "peers.call-timeout", "must be a positive duration such as 500ms")
	c.require(p.HeartbeatInterval > 0, "peers.heartbeat-interval", "must be a positive duration such as 250ms")
}
