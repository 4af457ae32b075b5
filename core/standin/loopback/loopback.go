// Package loopback finds addresses for servers that have to know their address before they listen.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const (
	// firstPort and portCount are a range below that from which the system takes ports for outgoing connections, so that
	// nothing but another server takes a port before its server listens.
	firstPort = 20_000
	portCount = 10_000
	// portsPerProcess keeps processes that look for ports at the same time apart.
	portsPerProcess = 64
)

// taken counts the ports that this process has tried.
var taken atomic.Uint32

// Free returns an address on loopback on which nothing listens. It never returns the same twice in a row of portCount.
func Free() (string, error) {
	start := os.Getpid() * portsPerProcess
	for range portCount {
		port := firstPort + (start+int(taken.Add(1)))%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address) //nolint:noctx // closed at once
		if err != nil {
			continue
		}
		return address, trace.Wrap(l.Close())
	}
	return "", trace.LimitExceeded("no port from %d on is free", firstPort)
}
