package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/modules/boottime"
	"medlarpond.dev/core/modules/peer"
	peerrouter "medlarpond.dev/core/routers/peer"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/ratepool"
)

// TestRatesAreSharedOverConnections guards against messages that lose a field on the wire: an instance must get more than its own part of
// a rate from the others, through a collector and a root in other processes.
func TestRatesAreSharedOverConnections(t *testing.T) {
	team := intent.Team{Name: "t", Rate: 40, Burst: 40}
	wanted, err := intent.New(intent.Content{Version: 1, Teams: []intent.Team{team}})
	if err != nil {
		t.Fatal(err)
	}
	var servers []*peer.Server
	var instances []roster.Instance
	for n := range 6 {
		var config net.ListenConfig
		l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := peer.NewServer()
		t.Cleanup(func() {
			_ = l.Close()
			s.Close()
		})
		go func() { _ = s.Serve(l) }()
		servers = append(servers, s)
		instances = append(instances, roster.Instance{
			ID: string(rune('a' + n)), Peer: l.Addr().String(), Capacity: []float64{0.8, 0.8, 0.04}[n/2],
			Place: roster.Place{Region: "east", FailureDomain: []string{"east-1", "east-2"}[n%2]},
		})
	}
	var pools []*ratepool.Pool
	for n, i := range instances {
		connections := peer.NewPool()
		t.Cleanup(connections.Close)
		p := ratepool.New(ratepool.Config{
			Self: i, Now: boottime.Now, Draw: peerrouter.DrawRates(connections), Split: allowance.New(allowance.Policy{}), Logger: zap.NewNop(),
			View:   func() ratepool.View { return ratepool.View{Instances: instances, Intent: wanted} },
			Policy: ratepool.Policy{Enabled: true, MinPart: 4, Window: 5 * time.Second, Slack: 14, GrowAfter: 10 * time.Second},
		})
		if err := peerrouter.RegisterRates(servers[n], p.HandleDraw); err != nil {
			t.Fatal(err)
		}
		go func() { _ = p.Run(t.Context()) }()
		pools = append(pools, p)
	}
	const want = 20
	for n, p := range pools {
		admitted := 0
		for until := time.Now().Add(20 * time.Second); admitted < want && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			if p.Take(context.Background(), team).OK {
				admitted++
			}
		}
		if admitted < want {
			t.Errorf("instance %s got %d requests admitted, want %d", instances[n].ID, admitted, want)
		}
	}
}

// BenchmarkDraw measures a renewal between two processes on the loopback interface, both sides together.
func BenchmarkDraw(b *testing.B) {
	var config net.ListenConfig
	l, err := config.Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := peer.NewServer()
	defer s.Close()
	defer func() { _ = l.Close() }()
	go func() { _ = s.Serve(l) }()
	p := ratepool.New(ratepool.Config{
		Now: boottime.Now, Split: allowance.New(allowance.Policy{}), Logger: zap.NewNop(), View: func() ratepool.View { return ratepool.View{} },
	})
	if err := peerrouter.RegisterRates(s, p.HandleDraw); err != nil {
		b.Fatal(err)
	}
	connections := peer.NewPool()
	defer connections.Close()
	send := peerrouter.DrawRates(connections)
	reply := ratepool.Reply{}
	sequence := uint64(0)
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		sequence++
		reply, err = send(ctx, l.Addr().String(), ratepool.Request{
			From: "x", Incarnation: 1, Sequence: sequence, Stamp: reply.Stamp, StampIncarnation: reply.Incarnation,
			Shares: []ratepool.Share{{Members: 1, Instances: 102, All: true, ValidFor: time.Second}},
		})
		cancel()
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(connections.TotalBytes())/float64(sequence), "bytes/op")
}
