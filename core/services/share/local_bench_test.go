package share_test

import (
	"bytes"
	"encoding/gob"
	"slices"
	"testing"
	"time"

	"medlarpond.dev/core/services/share"
)

// BenchmarkLocal measures operations that need no other instance.
func BenchmarkLocal(b *testing.B) {
	limits := benchTeams()
	limits[teamAccount] = share.Limit{Rate: 1e9, Burst: 1e9}
	limits[regionAccount] = share.Limit{Units: 1000, Hold: time.Second}
	l := share.NewLedger(func() {})
	l.SetEpoch(epochOf(1, "a", "b", "c", "d", "e", "f", "g"), nil, "a")
	l.SetLimits(limits)
	l.Activate(1, true)
	time.Sleep(time.Second)
	smallTeamAccount := benchTeam(7)
	for name, call := range map[string]func() bool{
		"take":    func() bool { return l.Take(teamAccount, 1) },
		"refused": func() bool { return !l.Take(smallTeamAccount, 100) },
		"acquire": func() bool {
			defer l.Release(regionAccount)
			return l.Acquire(regionAccount)
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			times := make([]time.Duration, 0, 1<<20)
			for b.Loop() {
				started := time.Now()
				if !call() {
					b.Fatal("got false, want true")
				}
				if len(times) < cap(times) {
					times = append(times, time.Since(started))
				}
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100]), "p99-ns")
		})
	}
}

// BenchmarkMessage reports the bytes of a request for eight teams and its reply, not counting the type definitions that
// gob sends first on a connection.
func BenchmarkMessage(b *testing.B) {
	request := share.LoanRequest{From: "entry-1/1796374652000000000", Nonce: 1 << 63, Sequence: 1 << 20}
	var reply share.LoanReply
	for a := range benchTeams() {
		request.Rates = append(request.Rates, share.RateRequest{
			Account: a, NeedRate: 4e10, NeedBurst: 1e10, HeldRate: 4e10, HeldBurst: 1e10,
		})
		reply.Rates = append(reply.Rates, share.RateLoan{Account: a, Rate: 4e10, Burst: 1e10, Level: 1e9})
	}
	for b.Loop() {
		var out bytes.Buffer
		encoder := gob.NewEncoder(&out)
		for _, m := range []any{request, reply} {
			if err := encoder.Encode(m); err != nil {
				b.Fatal(err)
			}
		}
		first := out.Len()
		for _, m := range []any{request, reply} {
			if err := encoder.Encode(m); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(out.Len()-first), "bytes")
	}
}
