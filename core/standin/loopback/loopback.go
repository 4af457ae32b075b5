// Package loopback finds free addresses for servers whose address must be known before they listen.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const (
	// firstPort and portCount define a range below the ephemeral ports, so that no outgoing connection takes a port before
	// its server listens.
	firstPort = 20_000
	portCount = 10_000
	// portsPerProcess is the distance between the first ports that processes with consecutive IDs try, so that concurrent
	// processes try different ports.
	portsPerProcess = 64
)

// attempts is the number of ports that this process has tried.
var attempts atomic.Uint32

// FreeAddress returns a loopback address on which nothing listens. A process gets the same address again only after it has tried
// all portCount ports.
func FreeAddress() (string, error) {
	start := os.Getpid() * portsPerProcess
	for range portCount {
		port := firstPort + (start+int(attempts.Add(1)))%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address) //nolint:noctx // closed at once
		if err != nil {
			continue
		}
		return address, trace.Wrap(l.Close())
	}
	return "", trace.LimitExceeded("no free port in the range that starts at %d", firstPort)
}
