package steering

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting bounds the waiting requests of one service.
	maxWaiting = 1024
	// pollInterval is the time between checks for what becomes available without a notification, such as tokens.
	pollInterval = 2 * time.Millisecond
	// maxTokenRetryDelay bounds the time between two tries of a team without tokens.
	maxTokenRetryDelay = 20 * time.Millisecond
	// minRequestInterval is the least time between two requests to other instances for missing units and tokens.
	minRequestInterval = 5 * time.Millisecond
)

// queue holds the waiting requests of one service, by team. It serves the teams by start-time fair queueing, which
// gives the waiting teams their weighted max-min fair shares.
type queue struct {
	steering *Steering
	service  string
	// pendingServes counts the calls of serve that have not been handled. The caller that raises it from zero serves
	// until it is zero again.
	pendingServes atomic.Int64
	// length is the number of waiting requests, readable without mu.
	length atomic.Int64

	mu sync.Mutex
	// teams holds the teams with waiting requests, by name.
	teams map[string]*teamQueue
	// virtualTime is the start tag of the last request served.
	virtualTime float64
	// finishTags holds the finish tags of teams that were served while others waited. It is cleared when the queue is
	// empty.
	finishTags  map[string]float64
	lastRequest time.Time
	timer       *time.Timer
	throughput  throughputMeter
}

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	team   string
	weight float64
	// startTag is the start tag of the first waiter.
	startTag float64
	waiters  []*waiter
	// shortage is what the first waiter lacked at its last try.
	shortage shortage
	// retryAt is when to try again after a shortage of tokens. Tries are limited because the ledger counts each as
	// demand.
	retryAt time.Time
}

// waiter is a waiting request.
type waiter struct {
	team     string
	excluded []string
	// done receives the grant, or nil if the waiter was dropped. It has a buffer of one.
	done chan *Grant
}

// throughputMeter measures how many requests per second a queue serves.
type throughputMeter struct {
	windowStart time.Time
	// served counts since windowStart; rate is that of the last window of one to two seconds, zero if there was none.
	served int
	rate   float64
}

func newQueue(s *Steering, service string) *queue {
	return &queue{steering: s, service: service, teams: map[string]*teamQueue{}, finishTags: map[string]float64{}}
}

// add appends a waiter to its team's queue. If the service's queue is full, it drops the last waiter of the team with
// the most waiters for its weight, which may be the new one.
func (q *queue) add(w *waiter, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	tq, ok := q.teams[w.team]
	if !ok {
		tq = &teamQueue{team: w.team, weight: weight, startTag: max(q.virtualTime, q.finishTags[w.team])}
		q.teams[w.team] = tq
	}
	tq.waiters = append(tq.waiters, w)
	q.addLength(1)
	if q.length.Load() > maxWaiting {
		q.dropLast(q.longestByWeight())
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(pollInterval, q.tick)
	}
}

// remove removes a waiter that gives up. It reports false if the waiter was already served or dropped.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	tq := q.teams[w.team]
	if tq == nil {
		return false
	}
	for i, other := range tq.waiters {
		if other == w {
			q.removeAt(tq, i)
			return true
		}
	}
	return false
}

// shortageOf returns what a team's first waiter lacked at its last try.
func (q *queue) shortageOf(team string) shortage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tq := q.teams[team]; tq != nil {
		return tq.shortage
	}
	return shortageNone
}

// serve admits waiting requests as far as capacity and tokens permit.
func (q *queue) serve() {
	if q.pendingServes.Add(1) > 1 {
		return
	}
	for {
		n := q.pendingServes.Load()
		q.serveTeams()
		if q.pendingServes.CompareAndSwap(n, 0) {
			return
		}
	}
}

func (q *queue) tick() {
	q.serve()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timer = nil
	if q.length.Load() > 0 {
		q.timer = time.AfterFunc(pollInterval, q.tick)
	}
}

// serveTeams serves the teams in the order of their start tags until each has no waiting request or has a shortage.
func (q *queue) serveTeams() {
	q.mu.Lock()
	defer q.mu.Unlock()
	plan := q.steering.plan.Load()
	service := plan.services[q.service]
	if service == nil {
		q.dropAll()
		return
	}
	now := time.Now()
	for _, tq := range q.teams {
		if tq.shortage != shortageTokens || !now.Before(tq.retryAt) {
			tq.shortage = shortageNone
		}
	}
	for tq := q.next(); tq != nil; tq = q.next() {
		grant, missing := q.steering.tryAdmit(service, tq.team, tq.waiters[0].excluded)
		if grant == nil {
			tq.shortage = missing
			tq.retryAt = now.Add(plan.tokenRetryDelay(tq.team))
			if missing == shortageCapacity && len(tq.waiters[0].excluded) == 0 {
				q.markCapacityShortage()
			}
			continue
		}
		q.advance(tq)
		w := tq.waiters[0]
		q.removeAt(tq, 0)
		w.done <- grant
	}
	q.requestMissing(service)
}

// markCapacityShortage marks all teams as short of capacity. If the first team in order found none, a slot that
// becomes free a moment later must not go to a team behind it.
func (q *queue) markCapacityShortage() {
	for _, tq := range q.teams {
		if tq.shortage == shortageNone {
			tq.shortage = shortageCapacity
		}
	}
}

// next returns the team to serve next; nil if every team has a shortage.
func (q *queue) next() *teamQueue {
	var best *teamQueue
	for _, tq := range q.teams {
		if tq.shortage != shortageNone {
			continue
		}
		if best == nil || tq.startTag < best.startTag || (tq.startTag == best.startTag && tq.team < best.team) {
			best = tq
		}
	}
	return best
}

// advance updates the tags after one request of a team was served.
func (q *queue) advance(tq *teamQueue) {
	q.virtualTime = max(q.virtualTime, tq.startTag)
	tq.startTag += 1 / tq.weight
	q.finishTags[tq.team] = tq.startTag
	q.throughput.record(time.Now())
}

// requestMissing asks the other instances for what the waiting requests lack, at most once per minRequestInterval.
func (q *queue) requestMissing(service *servicePlan) {
	now := time.Now()
	if len(q.teams) == 0 || now.Sub(q.lastRequest) < minRequestInterval {
		return
	}
	q.lastRequest = now
	needCapacity := 0
	for _, tq := range q.teams {
		switch tq.shortage {
		case shortageTokens:
			q.steering.requestMissing(service, tq.team, shortageTokens, len(tq.waiters))
		case shortageCapacity:
			needCapacity += len(tq.waiters)
		default:
		}
	}
	if needCapacity > 0 {
		q.steering.requestMissing(service, "", shortageCapacity, needCapacity)
	}
}

// backlog returns how many requests of a team wait, the fraction of the served requests that the team can expect, and
// the queue's throughput in requests per second, zero if unknown.
func (q *queue) backlog(team string, weight float64) (waiting int, fraction, throughput float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := weight
	for _, tq := range q.teams {
		if tq.team != team {
			sum += tq.weight
		} else {
			waiting = len(tq.waiters)
		}
	}
	return waiting, weight / sum, q.throughput.rate
}

func (q *queue) longestByWeight() *teamQueue {
	var longest *teamQueue
	for _, tq := range q.teams {
		if longest == nil || float64(len(tq.waiters))/tq.weight > float64(len(longest.waiters))/longest.weight {
			longest = tq
		}
	}
	return longest
}

func (q *queue) dropLast(tq *teamQueue) {
	last := len(tq.waiters) - 1
	w := tq.waiters[last]
	q.removeAt(tq, last)
	w.done <- nil
}

func (q *queue) dropAll() {
	for _, tq := range q.teams {
		for len(tq.waiters) > 0 {
			q.dropLast(tq)
		}
	}
}

// removeAt removes the waiter at index i from its team's queue.
func (q *queue) removeAt(tq *teamQueue, i int) {
	tq.waiters = append(tq.waiters[:i], tq.waiters[i+1:]...)
	q.addLength(-1)
	if len(tq.waiters) == 0 {
		delete(q.teams, tq.team)
	}
	if len(q.teams) == 0 {
		clear(q.finishTags)
		q.virtualTime = 0
	}
}

func (q *queue) addLength(n int64) {
	q.length.Add(n)
	q.steering.waiting.Add(n)
}

func (m *throughputMeter) record(now time.Time) {
	if elapsed := now.Sub(m.windowStart); elapsed >= time.Second {
		m.rate = float64(m.served) / elapsed.Seconds()
		if elapsed >= 2*time.Second {
			m.rate = 0
		}
		m.windowStart, m.served = now, 0
	}
	m.served++
}
