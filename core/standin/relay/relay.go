// Package relay is a TCP proxy with fault injection for tests. It can blackhole the open connections while new ones work,
// as happens when a firewall or NAT on the path loses their state. It can also delay traffic, drop one direction, and
// reset connections.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to one server. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	server   string

	mu sync.Mutex
	// open holds the connections that are neither blackholed nor reset.
	open map[*connection]struct{}
	// resetNew is true while new connections are reset.
	resetNew bool
	// all holds every socket, for Close.
	all []net.Conn

	// delay is the delay of each write, in nanoseconds.
	delay atomic.Int64
	// dropRequests and dropResponses discard the bytes of one direction.
	dropRequests, dropResponses atomic.Bool
}

// connection is a pair of sockets. blackholed is closed when it stops forwarding bytes.
type connection struct {
	client, server net.Conn
	blackholed     chan struct{}
}

// New starts a relay on loopback that forwards to the address of a server.
func New(server string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by Close
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, server: server, open: map[*connection]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the listen address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Blackhole makes the open connections discard all bytes from now on without being closed. New connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		close(c.blackholed)
	}
	clear(r.open)
}

// ResetConnections resets the open connections and every new one until it is called with false.
func (r *Relay) ResetConnections(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetNew = enabled
	if !enabled {
		return
	}
	for c := range r.open {
		reset(c.client)
		reset(c.server)
	}
	clear(r.open)
}

// SetDelay sets the delay of each write, for all connections.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// DropTraffic sets whether the bytes that clients send and those that the server sends are discarded, for all connections.
func (r *Relay) DropTraffic(requests, responses bool) {
	r.dropRequests.Store(requests)
	r.dropResponses.Store(responses)
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.all {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.server) //nolint:noctx // loopback
	if err != nil {
		reset(client)
		return
	}
	c := &connection{client: client, server: server, blackholed: make(chan struct{})}
	r.mu.Lock()
	r.all = append(r.all, client, server)
	resetNew := r.resetNew
	if !resetNew {
		r.open[c] = struct{}{}
	}
	r.mu.Unlock()
	if resetNew {
		reset(client)
		reset(server)
		return
	}
	go c.forward(&faultWriter{to: server, blackholed: c.blackholed, delay: &r.delay, drop: &r.dropRequests}, client)
	c.forward(&faultWriter{to: client, blackholed: c.blackholed, delay: &r.delay, drop: &r.dropResponses}, server)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// forward copies one direction. A blackholed connection discards the bytes and is not closed when the copy ends.
func (c *connection) forward(writer *faultWriter, from net.Conn) {
	_, err := io.Copy(writer, from)
	select {
	case <-c.blackholed:
	default:
		if err != nil {
			reset(writer.to)
			return
		}
		if tcp, ok := writer.to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// faultWriter forwards writes with the injected faults, until its connection is blackholed.
type faultWriter struct {
	to         net.Conn
	blackholed chan struct{}
	delay      *atomic.Int64
	drop       *atomic.Bool
}

// Write implements io.Writer.
func (w *faultWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(w.delay.Load()))
	select {
	case <-w.blackholed:
		return len(b), nil
	default:
	}
	if w.drop.Load() {
		return len(b), nil
	}
	return w.to.Write(b)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
