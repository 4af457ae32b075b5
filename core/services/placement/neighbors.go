package placement

import (
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// maxNews bounds the attempts that are kept for neighbors: those of a few rounds at the highest rate of one instance.
	maxNews = 512
	// neighborRounds is the number of rounds for which the attempts of a neighbor that has fallen silent count; a round is
	// lost now and then.
	neighborRounds = 6
	// hearsayWeight is the weight of a failure that a neighbor has seen: its own way to the target may be at fault.
	hearsayWeight = 0.5
	// usualGain is the weight of a new report in the usual load of a failure domain.
	usualGain = 0.1
	// unknownLoad stands for a load that the target has not reported.
	unknownLoad = -1
)

// Told is what an instance tells its neighbors, the other instances of its failure domain.
type Told struct {
	// Running is the number of its attempts under way, by the ID of the target.
	Running map[string]int
	News    []News
	// Next is the time until the instance tells again.
	Next time.Duration
}

// News is what one finished attempt has shown.
type News struct {
	Target string
	// Started names the lifetime of the target.
	Started int64
	// Object was served; empty if none was.
	Object string
	// Outside is the load from instances that are no neighbors; negative if it is not known.
	Outside float64
	// Answered is true for a whole answer, and Failure is the weight of a failure, zero for none.
	Answered bool
	Failure  float64
}

// neighbor holds what another instance has told.
type neighbor struct {
	running map[string]int
	// until is when this is too old to count.
	until time.Time
}

// usualKey names the targets that are likely to have a similar load.
type usualKey struct {
	service string
	place   roster.Place
}

// usual is the load from outside that targets report.
type usual struct {
	load float64
	// reportedAt is when the last of them reported.
	reportedAt time.Time
}

func (l *Loads) usualOf(t roster.Target) *usual {
	key := usualKey{service: t.Service, place: t.Place}
	u, ok := l.usual[key]
	if !ok {
		u = &usual{}
		l.usual[key] = u
	}
	return u
}

// at returns the usual load; without reports it fades, so that an attempt shows whether there is room again.
func (u *usual) at(now time.Time) float64 {
	if u == nil {
		return 0
	}
	return u.load * decay(now.Sub(u.reportedAt), reportHalfLife)
}

func (u *usual) learn(load float64, now time.Time) {
	if u == nil {
		return
	}
	present := u.at(now)
	u.load, u.reportedAt = present+usualGain*(load-present), now
}

// near returns the number of attempts that neighbors have under way at a target.
func (l *Loads) near(id string, now time.Time) float64 {
	sum := 0
	for _, n := range l.neighbors {
		if now.Before(n.until) {
			sum += n.running[id]
		}
	}
	return float64(sum)
}

// tell keeps news for neighbors.
func (l *Loads) tell(n News) {
	if len(l.news) == maxNews {
		l.news = append(l.news[:0], l.news[maxNews/2:]...)
		l.firstNews += maxNews / 2
	}
	l.news = append(l.news, n)
}

// Tell returns what a neighbor should know that has been told the news before the given number and is told
// again after some time, and the number to go on from.
func (l *Loads) Tell(since uint64, again time.Duration) (Told, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := Told{Running: map[string]int{}, Next: again}
	for id, t := range l.targets {
		if t.mine > 0 {
			told.Running[id] = t.mine
		}
	}
	next := l.firstNews + uint64(len(l.news))
	since = min(max(since, l.firstNews), next)
	told.News = append(told.News, l.news[since-l.firstNews:]...)
	return told, next
}

// Hear takes what a neighbor has told.
func (l *Loads) Hear(from string, told Told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, n := range l.neighbors {
		if !now.Before(n.until) {
			delete(l.neighbors, id)
		}
	}
	l.neighbors[from] = neighbor{running: told.Running, until: now.Add(neighborRounds * told.Next)}
	for _, n := range told.News {
		if known, ok := l.targets[n.Target]; ok && n.Started < known.started {
			continue
		}
		known := l.of(roster.Target{ID: n.Target, Started: n.Started})
		known.usedAt = now
		known.remember(n.Object, now)
		if n.Outside >= 0 {
			known.outside, known.reportedAt = n.Outside, now
			known.usual.learn(n.Outside, now)
		}
		switch {
		case n.Answered:
			known.failures, known.failedAt = known.failed(now)/2, now
		case n.Failure > 0:
			known.suspect(hearsayWeight*n.Failure, now)
		}
	}
}
