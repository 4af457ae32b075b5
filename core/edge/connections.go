package edge

import (
	"net"
	"net/http"
	"syscall"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/connlimit"
	"medlarpond.dev/core/services/intake"
)

const (
	// callerShare and lookupShare are the shares of the file descriptors for connections of callers to the two servers that they
	// use, probeShare the share for each of the servers of the platform. The rest is for the store, other instances, targets and
	// files.
	callerShare = 0.5
	lookupShare = 0.1
	probeShare  = 0.02
	// minConnections is the smallest bound on the connections of a server.
	minConnections = 8
	// maxHeaderBytes bounds the header section for servers whose limit the intent sets.
	maxHeaderBytes = 1 << 20
)

// server is an HTTP server with bounded connections.
type server struct {
	*http.Server
	name        string
	connections *connlimit.Limiter
	// account is charged for the memory that callers occupy.
	account *intake.Account
	// wrap wraps the connections for the handler; nil if it does not need them.
	wrap func(net.Listener) net.Listener
}

// newServer returns a server for callers or, if a limit of callers does not apply, for the platform.
func (e *Edge) newServer(name string, h http.Handler, share float64, limits func() connlimit.Limits, account *intake.Account) server {
	s := e.newUnchargedServer(name, h, share, limits)
	s.account = account
	account.Configure(s.Server)
	return s
}

func (e *Edge) newUnchargedServer(name string, h http.Handler, share float64, limits func() connlimit.Limits) server {
	bound := max(minConnections, int(share*float64(e.maxDescriptors())))
	l := connlimit.New(bound, limits, func(reason string) {
		e.meter.Count("medlarpond_connections_closed_total", "reason", reason)
	})
	e.meter.Gauge("medlarpond_connections{server=\""+name+"\"}", func() float64 { return float64(l.Open()) })
	return server{name: name, connections: l, Server: &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.logger), ConnState: l.ConnState,
		// The limiter applies the timeouts, as they may change.
	}}
}

// newCallerServer returns the server for the requests of callers.
func (e *Edge) newCallerServer() server {
	s := e.newUnchargedServer("caller", e.router, callerShare, e.callerLimits)
	s.ConnContext, s.wrap = e.router.ConnContext, e.router.Listener
	s.account = e.accounts.requests
	s.account.Configure(s.Server)
	return s
}

// Serve accepts connections until the server is closed.
func (s server) Serve(l net.Listener) error {
	l = s.connections.Listener(l)
	if s.wrap != nil {
		l = s.wrap(l)
	}
	return s.Server.Serve(s.account.Listener(l))
}

// maxDescriptors returns the number of file descriptors that the process may have open.
func (e *Edge) maxDescriptors() int {
	bound := e.settings.Memory.MaxDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		e.logger.Warn("failed to read the limit on file descriptors; using the settings", zap.Error(err))
		return bound
	}
	if bound == 0 || limit.Cur < uint64(bound) {
		return int(min(limit.Cur, 1<<30))
	}
	return bound
}

// callerLimits returns the limits on connections of callers: those of the intent, and those of the settings where it has none.
func (e *Edge) callerLimits() connlimit.Limits {
	limits := e.platformLimits()
	i := e.state.View().Intent
	if i == nil {
		return limits
	}
	if i.Limits.IdleTimeout > 0 {
		limits.Idle = i.Limits.IdleTimeout
	}
	if i.Limits.HeaderTimeout > 0 {
		limits.Header = i.Limits.HeaderTimeout
	}
	if i.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = i.Limits.HeaderBytes
	}
	return limits
}

// platformLimits returns the limits of the settings.
func (e *Edge) platformLimits() connlimit.Limits {
	r := e.settings.Requests
	return connlimit.Limits{Idle: r.IdleTimeout, Header: r.HeaderTimeout, HeaderBytes: r.MaxHeaderBytes}
}
