// Package peer implements calls between instances: net/rpc over TCP, with a deadline for each call and a reconnect after
// a connection has failed or stopped responding.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive parameters that let the kernel detect a
	// dead connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// ErrUnreachable is returned for a call without a response; the peer may have run it.
type ErrUnreachable struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ErrUnreachable) Error() string {
	return "peer " + e.Address + " unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrUnreachable) Unwrap() error { return e.Cause }

// ErrPanicked is returned by a method that has panicked. Its caller receives the text.
type ErrPanicked struct {
	Cause any
	Stack string
}

// Error implements error.
func (e *ErrPanicked) Error() string {
	return fmt.Sprintf("method panicked: %v\n%s", e.Cause, e.Stack)
}

// Recover turns a panic of a method into its error, so that one unexpected call does not end the process: net/rpc runs
// methods without a recover. Every registered method defers it first.
func Recover(err *error) {
	if cause := recover(); cause != nil {
		*err = &ErrPanicked{Cause: cause, Stack: string(debug.Stack())}
	}
}

// Client calls one peer. It dials on first use, and again after a connection has failed or stopped responding.
type Client struct {
	address string
	// traffic counts the bytes sent and received; nil if they are not counted.
	traffic *atomic.Int64

	mu sync.Mutex
	// connection is nil until the next call dials.
	connection *rpc.Client
}

// NewClient returns a client for a peer address.
func NewClient(address string) *Client { return &Client{address: address} }

// Call calls a method; the context must have a deadline. A call that ends without a response closes the connection, so
// that a late response is never delivered.
func Call[A, R any](ctx context.Context, c *Client, method string, args A) (R, error) {
	var zero R
	connection, err := c.connect(ctx)
	if err != nil {
		return zero, &ErrUnreachable{Address: c.address, Cause: err}
	}
	reply := new(R)
	call := connection.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.discard(connection)
		return zero, &ErrUnreachable{Address: c.address, Cause: context.Cause(ctx)}
	}
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		c.discard(connection)
		return zero, &ErrUnreachable{Address: c.address, Cause: call.Error}
	}
	return *reply, call.Error
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// connect returns the open connection or dials a new one.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		return c.connection, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive()}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	if c.traffic != nil {
		raw = &countingConn{Conn: raw, traffic: c.traffic}
	}
	c.connection = rpc.NewClient(&messageConn{Conn: raw})
	return c.connection, nil
}

// discard closes a failed connection, so that the next call dials a new one.
func (c *Client) discard(broken *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = broken.Close()
	if c.connection == broken {
		c.connection = nil
	}
}

// Server serves the calls of peers.
type Server struct {
	rpc *rpc.Server

	mu sync.Mutex
	// connections holds the open connections; nil after Close.
	connections map[net.Conn]struct{}
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), connections: map[net.Conn]struct{}{}}
}

// Register adds the methods of a receiver under a name.
func (s *Server) Register(name string, receiver any) error { return s.rpc.RegisterName(name, receiver) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		connection, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetKeepAliveConfig(keepAlive())
		}
		if s.add(connection) {
			go s.serveConn(connection)
		}
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
}

func (s *Server) serveConn(c net.Conn) {
	s.rpc.ServeConn(&messageConn{Conn: c})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// add registers an open connection; after Close it closes the connection and returns false.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		_ = c.Close()
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}
