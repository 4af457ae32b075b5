package main

import (
	"fmt"
	"net"
	"sync"
)

// proxy forwards TCP connections to an address. While it is cut it forwards nothing and closes nothing.
type proxy struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// open is closed while bytes are forwarded.
	open chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePort()))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, open: make(chan struct{})}
	close(p.open)
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// wait waits until bytes are forwarded.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.wait()
			d, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = c.Close()
				return
			}
			go p.copy(c, d)
			p.copy(d, c)
		}()
	}
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
