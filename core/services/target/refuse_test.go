package target_test

import (
	"context"
	"net"
	"testing"
	"time"

	"medlarpond.dev/core/services/target"
)

// TestRefusesConnections tells a target that has died from one that has only closed a connection, and uses the connection of
// the check for the next request.
func TestRefusesConnections(t *testing.T) {
	accepted := make(chan int, 9)
	address := startServer(t, func(c net.Conn, number int) {
		accepted <- number
		serveEach(c, func(id string, _ int) bool {
			if id == "lost" {
				return false
			}
			_, err := c.Write([]byte(responseText(id, "ok")))
			return err == nil
		})
	})
	p := target.NewPool()
	if _, err := p.Do(t.Context(), newExchange(address, "lost")); !target.IsConnectionLost(err) {
		t.Errorf("got error %v after the target closed the connection, want a lost connection", err)
	}
	if p.RefusesConnections(t.Context(), address) {
		t.Error("a target that accepts connections counts as dead")
	}
	if _, err := p.Do(t.Context(), newExchange(address, "next")); err != nil {
		t.Error(err)
	}
	if n := len(accepted); n != 2 {
		t.Errorf("got %d connections, want 2: the check and the next request share one", n)
	}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if !p.RefusesConnections(t.Context(), l.Addr().String()) {
		t.Error("an address without a listener does not count as dead")
	}
	timedOut := newExchange(startServer(t, func(net.Conn, int) { time.Sleep(time.Second) }), "slow")
	timedOut.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, err := p.Do(context.Background(), timedOut); target.IsConnectionLost(err) {
		t.Errorf("got a lost connection for a timeout: %v", err)
	}
}
