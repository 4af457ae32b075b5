package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxClients is the largest number of peers to which a pool keeps connections.
const maxClients = 64

// Pool holds the clients of the most recently called peers.
type Pool struct {
	mu sync.Mutex
	// clients is keyed by address and holds at most maxClients.
	clients map[string]*pooledClient
	// traffic is the total number of bytes that the connections of all clients have sent and received.
	traffic atomic.Int64
}

// countingConn is a connection that counts the bytes sent and received.
type countingConn struct {
	net.Conn
	traffic *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Add(int64(n))
	return n, err
}

type pooledClient struct {
	client *Client
	// used is when Get last returned the client.
	used time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: map[string]*pooledClient{}} }

// Get returns the client for an address. It creates the client if needed, after evicting the least recently used one if
// the pool is full.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		if len(p.clients) >= maxClients {
			p.evict()
		}
		c = &pooledClient{client: &Client{address: address, traffic: &p.traffic}}
		p.clients[address] = c
	}
	c.used = time.Now()
	return c.client
}

// TotalBytes returns the total number of bytes that all connections have sent and received.
func (p *Pool) TotalBytes() int64 { return p.traffic.Load() }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		c.client.Close()
		delete(p.clients, address)
	}
}

// evict closes the client that was used least recently.
func (p *Pool) evict() {
	var oldest string
	for address, c := range p.clients {
		if oldest == "" || c.used.Before(p.clients[oldest].used) {
			oldest = address
		}
	}
	p.clients[oldest].client.Close()
	delete(p.clients, oldest)
}
