package steering

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 1024
	// lookInterval is the pause between looks at what has become free without a notification, such as tokens.
	lookInterval = 2 * time.Millisecond
	// maxTokenPause bounds the pause between two tries of a team that lacks tokens.
	maxTokenPause = 20 * time.Millisecond
	// askInterval is the shortest pause between two demands for what is lacking.
	askInterval = 5 * time.Millisecond
)

// queue holds the requests of one service that wait, by team. It serves teams in the order of start-time fair queueing,
// which is weighted max-min among those that wait.
type queue struct {
	steering *Steering
	service  string
	// looks counts the requests to look again; whoever raises it from zero looks until it is zero.
	looks atomic.Int64
	// length is the number of waiting requests, readable without the lock.
	length atomic.Int64

	mu sync.Mutex
	// lines has an entry for each team with waiting requests.
	lines map[string]*line
	// virtual is the start tag of the last request served.
	virtual float64
	// finish holds the finish tags of teams that were served while others waited; cleared when the queue is empty.
	finish map[string]float64
	asked  time.Time
	timer  *time.Timer
	pace   pace
}

// line is the waiting requests of one team.
type line struct {
	team   string
	weight float64
	// start is the start tag of the first waiter.
	start   float64
	waiters []*waiter
	// short is what the first waiter lacked when it was last tried.
	short shortage
	// resume is when to try again after a lack of tokens; each try counts as demand.
	resume time.Time
}

// waiter is one waiting request.
type waiter struct {
	team     string
	excluded []string
	// done receives the grant, or nil if the waiter was dropped; it has room for one.
	done chan *Grant
}

// pace measures how many requests a queue serves a second.
type pace struct {
	since time.Time
	// served counts since then; rate is the figure of the last full second, zero if there is none.
	served int
	rate   float64
}

func newQueue(s *Steering, service string) *queue {
	return &queue{steering: s, service: service, lines: map[string]*line{}, finish: map[string]float64{}}
}

// add appends a waiter to its team's line. If the queue is full, the last waiter of the line that is longest for its
// weight is dropped, which may be the new one.
func (q *queue) add(w *waiter, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.lines[w.team]
	if !ok {
		l = &line{team: w.team, weight: weight, start: max(q.virtual, q.finish[w.team])}
		q.lines[w.team] = l
	}
	l.waiters = append(l.waiters, w)
	q.count(1)
	if q.length.Load() > maxWaiting {
		q.dropLast(q.longest())
	}
	if q.timer == nil {
		q.timer = time.AfterFunc(lookInterval, q.tick)
	}
}

// remove takes out a waiter that gives up, and reports false if it was served or dropped before.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[w.team]
	if l == nil {
		return false
	}
	for i, other := range l.waiters {
		if other == w {
			q.take(l, i)
			return true
		}
	}
	return false
}

// shortOf returns what a team's first waiter lacked when it was last tried.
func (q *queue) shortOf(team string) shortage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.lines[team]; l != nil {
		return l.short
	}
	return shortNothing
}

// serve grants to waiting requests what is free.
func (q *queue) serve() {
	if q.looks.Add(1) > 1 {
		return
	}
	for {
		n := q.looks.Load()
		q.round()
		if q.looks.CompareAndSwap(n, 0) {
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
		q.timer = time.AfterFunc(lookInterval, q.tick)
	}
}

// round serves teams in their order until each has nothing waiting or lacks something.
func (q *queue) round() {
	q.mu.Lock()
	defer q.mu.Unlock()
	plan := q.steering.plan.Load()
	service := plan.services[q.service]
	if service == nil {
		q.dropAll()
		return
	}
	now := time.Now()
	for _, l := range q.lines {
		if l.short != shortTokens || !now.Before(l.resume) {
			l.short = shortNothing
		}
	}
	for l := q.next(); l != nil; l = q.next() {
		grant, short := q.steering.try(service, l.team, l.waiters[0].excluded)
		if grant == nil {
			l.short = short
			l.resume = now.Add(plan.tokenPause(l.team))
			if short == shortRoom && len(l.waiters[0].excluded) == 0 {
				q.shortOfRoom()
			}
			continue
		}
		q.advance(l)
		w := l.waiters[0]
		q.take(l, 0)
		w.done <- grant
	}
	q.demand(service)
}

// shortOfRoom marks every line: where the first in order finds no room, a slot that becomes free a moment later must not
// go to one behind it.
func (q *queue) shortOfRoom() {
	for _, l := range q.lines {
		if l.short == shortNothing {
			l.short = shortRoom
		}
	}
}

// next returns the line to serve next; nil if each lacks something.
func (q *queue) next() *line {
	var best *line
	for _, l := range q.lines {
		if l.short != shortNothing {
			continue
		}
		if best == nil || l.start < best.start || (l.start == best.start && l.team < best.team) {
			best = l
		}
	}
	return best
}

// advance moves the tags on by one request of a line.
func (q *queue) advance(l *line) {
	q.virtual = max(q.virtual, l.start)
	l.start += 1 / l.weight
	q.finish[l.team] = l.start
	q.pace.count(time.Now())
}

// demand asks for what waiting requests lack.
func (q *queue) demand(service *servicePlan) {
	now := time.Now()
	if len(q.lines) == 0 || now.Sub(q.asked) < askInterval {
		return
	}
	q.asked = now
	room := 0
	for _, l := range q.lines {
		switch l.short {
		case shortTokens:
			q.steering.ask(service, l.team, shortTokens, len(l.waiters))
		case shortRoom:
			room += len(l.waiters)
		default:
		}
	}
	if room > 0 {
		q.steering.ask(service, "", shortRoom, room)
	}
}

// ahead returns how many requests of a team wait, and the part of the served requests that the team would get.
func (q *queue) ahead(team string, weight float64) (waiting int, part, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := weight
	for _, l := range q.lines {
		if l.team != team {
			sum += l.weight
		} else {
			waiting = len(l.waiters)
		}
	}
	return waiting, weight / sum, q.pace.rate
}

func (q *queue) longest() *line {
	var longest *line
	for _, l := range q.lines {
		if longest == nil || float64(len(l.waiters))/l.weight > float64(len(longest.waiters))/longest.weight {
			longest = l
		}
	}
	return longest
}

func (q *queue) dropLast(l *line) {
	last := len(l.waiters) - 1
	w := l.waiters[last]
	q.take(l, last)
	w.done <- nil
}

func (q *queue) dropAll() {
	for _, l := range q.lines {
		for len(l.waiters) > 0 {
			q.dropLast(l)
		}
	}
}

// take removes the waiter at an index from its line.
func (q *queue) take(l *line, i int) {
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
	q.count(-1)
	if len(l.waiters) == 0 {
		delete(q.lines, l.team)
	}
	if len(q.lines) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

func (q *queue) count(n int64) {
	q.length.Add(n)
	q.steering.waiting.Add(n)
}

func (p *pace) count(now time.Time) {
	if passed := now.Sub(p.since); passed >= time.Second {
		p.rate = float64(p.served) / passed.Seconds()
		if passed >= 2*time.Second {
			p.rate = 0
		}
		p.since, p.served = now, 0
	}
	p.served++
}
