package ratepool_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/intent"
	"medlarpond.dev/core/models/roster"
	"medlarpond.dev/core/services/allowance"
	"medlarpond.dev/core/services/ratepool"
)

const window = 5 * time.Second

var policy = ratepool.Policy{Enabled: true, MinPart: 4, Window: window, Overrun: 0.07, Slack: 14, GrowAfter: 10 * time.Second}

// maxRequests is the number of requests of a team that the policy permits in a window.
func maxRequests(t intent.Team) float64 {
	return (t.Rate*window.Seconds()+t.Burst)*(1+policy.Overrun) + policy.Slack
}

// fleet simulates the processes of a fleet and the messages between them.
type fleet struct {
	ctx    context.Context //nolint:containedctx // the lifetime of the simulation
	start  time.Time
	intent *intent.Intent
	teams  []intent.Team
	// running counts processes and messages on their way.
	running sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// loss is the probability that a request or a reply is lost, late that of a message that takes up to 2 s.
	loss, late float64
	list       []roster.Instance
	processes  map[string]*process
	// calls counts the messages by receiver.
	calls    map[string]int
	admitted map[string][]time.Time
}

// process is one incarnation of an instance.
type process struct {
	id     string
	pool   *ratepool.Pool
	cancel context.CancelFunc
	dead   bool
	cut    bool
	// pausedUntil is when messages to and from the process go on.
	pausedUntil time.Time
	view        ratepool.View
}

func newFleet(t *testing.T, seed uint64, domains, size int, teams ...intent.Team) *fleet {
	t.Helper()
	content := intent.Content{Version: 1, Teams: teams}
	in, err := intent.New(content)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		ctx: ctx, start: time.Now(), intent: in, teams: teams, random: rand.New(rand.NewPCG(seed, 1)),
		processes: map[string]*process{}, calls: map[string]int{}, admitted: map[string][]time.Time{},
	}
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	for d := range domains {
		for n := range size {
			capacity := 0.04
			if n < 2 {
				capacity = 0.8
			}
			id := fmt.Sprintf("%d-%d", d, n)
			place := roster.Place{Region: fmt.Sprint("r", d%3), FailureDomain: fmt.Sprint("d", d)}
			f.list = append(f.list, roster.Instance{ID: id, Place: place, Peer: id, Capacity: capacity})
		}
	}
	for _, i := range f.list {
		f.run(i)
	}
	return f
}

// run starts a new incarnation of an instance and ends the earlier one.
func (f *fleet) run(i roster.Instance) {
	f.kill(i.ID)
	ctx, cancel := context.WithCancel(f.ctx)
	f.mu.Lock()
	p := &process{id: i.ID, cancel: cancel, view: ratepool.View{Instances: f.list, Intent: f.intent}}
	offset := time.Duration(f.random.Int64N(int64(time.Hour)))
	f.mu.Unlock()
	split := allowance.New(allowance.Policy{Window: window, Overrun: policy.Overrun, Slack: policy.Slack, GrowAfter: policy.GrowAfter})
	split.SetInstances(len(f.list))
	p.pool = ratepool.New(ratepool.Config{
		Self: i, Policy: policy, Split: split, Logger: zap.NewNop(),
		Now: func() time.Duration { return time.Since(f.start) + offset },
		View: func() ratepool.View {
			f.mu.Lock()
			defer f.mu.Unlock()
			return p.view
		},
		Draw: func(ctx context.Context, address string, r ratepool.Request) (ratepool.Reply, error) {
			return f.call(ctx, p, address, r)
		},
	})
	// The first list of a process is complete; later ones may lack instances.
	p.pool.HandleDraw(ctx, ratepool.Request{})
	f.mu.Lock()
	f.processes[i.ID] = p
	f.mu.Unlock()
	f.running.Go(func() { _ = p.pool.Run(ctx) })
}

func (f *fleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[id]; p != nil {
		p.dead = true
		p.cancel()
	}
}

func (f *fleet) isDead(p *process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.dead
}

func (f *fleet) with(id string, change func(p *process)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.processes[id])
}

// call carries a message and its reply. A message is delivered even if its sender has stopped waiting.
func (f *fleet) call(ctx context.Context, from *process, address string, r ratepool.Request) (ratepool.Reply, error) {
	done := make(chan ratepool.Reply, 1)
	f.running.Go(func() {
		to, ok := f.transfer(from, address)
		if !ok {
			return
		}
		reply := to.pool.HandleDraw(f.ctx, r)
		if _, ok := f.transfer(to, address); ok && !f.isDead(from) {
			done <- reply
		}
	})
	select {
	case reply := <-done:
		return reply, nil
	case <-ctx.Done():
		return ratepool.Reply{}, errors.New("no reply")
	}
}

// transfer waits while a message is on its way, and returns the process with the address unless the message is lost.
func (f *fleet) transfer(from *process, address string) (*process, bool) {
	f.mu.Lock()
	delay := time.Duration(100+f.random.Int64N(12000)) * time.Microsecond
	if f.random.Float64() < f.late {
		delay = time.Duration(f.random.Int64N(int64(2 * time.Second)))
	}
	lost := f.random.Float64() < f.loss || from.dead
	delay = max(delay, time.Until(from.pausedUntil))
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	to := f.processes[address]
	pause := time.Until(to.pausedUntil)
	f.mu.Unlock()
	time.Sleep(max(0, pause))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[address]++
	return to, !lost && !to.dead && !to.cut && !from.cut
}

// take sends a request of a team to an instance and records it if it is admitted. refund returns the token after a time.
func (f *fleet) take(id string, team intent.Team, refund bool) bool {
	f.mu.Lock()
	p := f.processes[id]
	usable := !p.dead && time.Until(p.pausedUntil) <= 0
	f.mu.Unlock()
	if !usable {
		return false
	}
	d := p.pool.Take(f.ctx, team)
	if d.OK && refund {
		time.Sleep(30 * time.Millisecond)
		p.pool.Refund(team, d)
		return true
	}
	if d.OK {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.admitted[team.Name] = append(f.admitted[team.Name], time.Now())
	}
	return d.OK
}

// worstWindow returns the largest number of requests of the first team in a window.
func (f *fleet) worstWindow() (worst int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	admitted := f.admitted[f.teams[0].Name]
	slices.SortFunc(admitted, time.Time.Compare)
	first := 0
	for n, at := range admitted {
		for at.Sub(admitted[first]) > window {
			first++
		}
		worst = max(worst, n-first+1)
	}
	return worst
}

// countSince returns the number of requests of the first team since a time.
func (f *fleet) countSince(since time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.admitted[f.teams[0].Name] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// flood sends requests of a team to an instance for a time, at random times with an average rate, and returns when all have ended.
func (f *fleet) flood(id string, team intent.Team, rate float64, d time.Duration) (refused int) {
	var running sync.WaitGroup
	var mu sync.Mutex
	for until := time.Now().Add(d); time.Now().Before(until); {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		f.mu.Unlock()
		time.Sleep(pause)
		running.Go(func() {
			if !f.take(id, team, false) {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	running.Wait()
	return refused
}
