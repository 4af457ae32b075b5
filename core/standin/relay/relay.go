// Package relay is a TCP relay for tests. Its open connections can go silent for good while new ones work, as happens
// when something between two ends loses track of them; it can also delay bytes, lose those of one direction, and reset.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes bytes between its clients and one server.
type Relay struct {
	listener net.Listener
	server   string

	mu sync.Mutex
	// open holds the connections that pass bytes.
	open map[*connection]struct{}
	// cut makes new connections end at once.
	cut bool
	// all holds every socket, to be closed by Close.
	all []net.Conn

	// delay is what each piece of bytes waits, in nanoseconds.
	delay atomic.Int64
	// loseRequests and loseAnswers swallow the bytes of one direction.
	loseRequests, loseAnswers atomic.Bool
}

// connection is a pair of sockets; silent is closed when it stops passing bytes.
type connection struct {
	client, server net.Conn
	silent         chan struct{}
}

// New starts a relay on loopback to a server's address.
func New(server string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by Close
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, server: server, open: map[*connection]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Freeze makes the open connections silent: they stay open and pass nothing any more. New ones work.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		close(c.silent)
	}
	clear(r.open)
}

// Cut resets the open connections and, until it is called with false, every new one.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.open {
		reset(c.client)
		reset(c.server)
	}
	clear(r.open)
}

// Delay makes each piece of bytes wait.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Lose swallows what clients send, what the server sends, or both, on all connections.
func (r *Relay) Lose(requests, answers bool) {
	r.loseRequests.Store(requests)
	r.loseAnswers.Store(answers)
}

// Close ends the relay and its connections.
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
	c := &connection{client: client, server: server, silent: make(chan struct{})}
	r.mu.Lock()
	r.all = append(r.all, client, server)
	cut := r.cut
	if !cut {
		r.open[c] = struct{}{}
	}
	r.mu.Unlock()
	if cut {
		reset(client)
		reset(server)
		return
	}
	go c.pass(&gate{to: server, silent: c.silent, delay: &r.delay, lose: &r.loseRequests}, client)
	c.pass(&gate{to: client, silent: c.silent, delay: &r.delay, lose: &r.loseAnswers}, server)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// pass copies one direction; a silent connection swallows its bytes and never ends.
func (c *connection) pass(to *gate, from net.Conn) {
	_, err := io.Copy(to, from)
	select {
	case <-c.silent:
	default:
		if err != nil {
			reset(to.to)
			return
		}
		if half, ok := to.to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}
}

// gate passes writes until its connection goes silent.
type gate struct {
	to     net.Conn
	silent chan struct{}
	delay  *atomic.Int64
	lose   *atomic.Bool
}

// Write implements io.Writer.
func (g *gate) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(g.delay.Load()))
	select {
	case <-g.silent:
		return len(b), nil
	default:
	}
	if g.lose.Load() {
		return len(b), nil
	}
	return g.to.Write(b)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
