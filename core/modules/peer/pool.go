package peer

import (
	"sync"
	"time"
)

// maxClients is the number of peers to which a pool keeps connections.
const maxClients = 64

// Pool holds the clients of the peers that are called most recently.
type Pool struct {
	mu sync.Mutex
	// clients is keyed by address and holds at most maxClients.
	clients map[string]*pooled
}

type pooled struct {
	client *Client
	used   time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: map[string]*pooled{}} }

// Get returns the client of an address.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		if len(p.clients) >= maxClients {
			p.evict()
		}
		c = &pooled{client: NewClient(address)}
		p.clients[address] = c
	}
	c.used = time.Now()
	return c.client
}

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
