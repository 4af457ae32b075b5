package placement

import (
	"math"
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// maxResults is the maximum number of attempt results kept for neighbors: those of a few update intervals at
	// the highest request rate of one instance.
	maxResults = 512
	// neighborExpiryIntervals is the number of update intervals after which the state of an unresponsive neighbor
	// expires. It exceeds 1 because single updates can be lost.
	neighborExpiryIntervals = 6
	// neighborFailureWeight scales failures that a neighbor reports, as the neighbor's network path to the target may
	// be the cause.
	neighborFailureWeight = 0.5
	// maxUpdateInterval bounds the interval that a neighbor announces, so that its state expires.
	maxUpdateInterval = 5 * time.Second
	// domainLoadGain is the weight of a new report in the average external load of a failure domain.
	domainLoadGain = 0.1
	// unknownLoad marks an external load that the target did not report.
	unknownLoad = -1
)

// LoadUpdate is the update that an instance sends to its neighbors, the other instances of its failure domain. Its
// fields are encoded with gob and keep their names.
type LoadUpdate struct {
	// Running is the sender's number of attempts in flight, by target ID. News holds the results of its attempts that
	// the receiver has not received yet.
	Running map[string]int
	News    []AttemptResult
	// Next is the time until the sender's next update.
	Next time.Duration
}

// AttemptResult is the result of one finished attempt. Its fields are encoded with gob and keep their names.
type AttemptResult struct {
	Target string
	// Started is the start time that identifies the target's incarnation.
	Started int64
	// Object is the object that was served; empty if there was none.
	Object string
	// Outside is the external load of the target, from instances outside the failure domain; negative if unknown.
	Outside float64
	// Answered is true for a complete response. Failure is the failure score to add, zero for none.
	Answered bool
	Failure  float64
	// Leaving is true if the target has said that it leaves.
	Leaving bool
	// Limit tells whether the target names a limit, which is LimitRate.
	Limit     LimitHint
	LimitRate float64
	// Pace is the pace that the target has reported, in percent; zero if it has not. Instances of earlier versions omit it.
	Pace int
}

// hints returns what the target has said in the response, as far as it concerns all instances. An impossible limit says nothing.
func (r AttemptResult) hints() Hints {
	h := Hints{Leaving: r.Leaving}
	if r.Limit == LimitNone || (r.Limit == LimitNamed && r.LimitRate >= 0 && !math.IsInf(r.LimitRate, 0)) {
		h.Limit, h.LimitRate = r.Limit, r.LimitRate
	}
	return h
}

// neighborState is the latest update of a neighbor.
type neighborState struct {
	running map[string]int
	// expiresAt is when the update is too old to be used.
	expiresAt time.Time
}

// domainLoadKey identifies targets that are likely to have a similar load.
type domainLoadKey struct {
	service string
	place   roster.Place
}

// domainLoad is the moving average of the external load that targets report.
type domainLoad struct {
	load float64
	// updatedAt is the time of the latest report.
	updatedAt time.Time
}

func (l *LoadTracker) domainLoadOf(t roster.Target) *domainLoad {
	key := domainLoadKey{service: t.Service, place: t.Place}
	average, ok := l.domainLoads[key]
	if !ok {
		average = &domainLoad{}
		l.domainLoads[key] = average
	}
	return average
}

// decayed returns the average external load. It decays without new reports, so that requests probe whether there is
// capacity again.
func (d *domainLoad) decayed(now time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.load * decay(now.Sub(d.updatedAt), externalLoadHalfLife)
}

func (d *domainLoad) update(load float64, now time.Time) {
	if d == nil {
		return
	}
	current := d.decayed(now)
	d.load, d.updatedAt = current+domainLoadGain*(load-current), now
}

// neighborLoad returns the number of attempts that neighbors have in flight at a target.
func (l *LoadTracker) neighborLoad(id string, now time.Time) float64 {
	sum := 0
	for _, n := range l.neighbors {
		if now.Before(n.expiresAt) {
			sum += min(max(n.running[id], 0), maxReportedLoad)
		}
	}
	return float64(sum)
}

// appendResult stores an attempt result for the neighbors. When the buffer is full, the older half is dropped.
func (l *LoadTracker) appendResult(result AttemptResult) {
	if len(l.results) == maxResults {
		l.results = append(l.results[:0], l.results[maxResults/2:]...)
		l.firstResult += maxResults / 2
	}
	l.results = append(l.results, result)
}

// UpdateSince returns an update for a neighbor that has received all results before the sequence number since, and the
// sequence number from which the next update continues. interval is the time until that update.
func (l *LoadTracker) UpdateSince(since uint64, interval time.Duration) (LoadUpdate, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := LoadUpdate{Running: map[string]int{}, Next: interval}
	for id, t := range l.targets {
		if t.inFlight > 0 {
			update.Running[id] = t.inFlight
		}
	}
	next := l.firstResult + uint64(len(l.results))
	since = min(max(since, l.firstResult), next)
	update.News = append(update.News, l.results[since-l.firstResult:]...)
	return update, next
}

// Merge applies an update of a neighbor.
func (l *LoadTracker) Merge(from string, update LoadUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	interval := min(max(update.Next, 0), maxUpdateInterval)
	for id, n := range l.neighbors {
		if !now.Before(n.expiresAt) {
			delete(l.neighbors, id)
		}
	}
	l.neighbors[from] = neighborState{running: update.Running, expiresAt: now.Add(neighborExpiryIntervals * interval)}
	for _, result := range update.News {
		if state, ok := l.targets[result.Target]; ok && result.Started < state.started {
			continue
		}
		state := l.stateOf(roster.Target{ID: result.Target, Started: result.Started})
		state.usedAt = now
		state.markWarm(result.Object, now)
		if counter, ok := l.objects[state.service]; ok && result.Object != "" {
			counter.add(result.Object, now)
		}
		state.hints.apply(result.hints(), now)
		if result.Outside >= 0 && result.Outside <= maxReportedLoad {
			state.externalLoad, state.externalLoadAt = result.Outside, now
			state.domainLoad.update(result.Outside, now)
		}
		if isPlausiblePace(result.Pace) {
			// The results of an update are half of its interval old on average.
			state.setPace(result.Pace, now.Add(-interval/2))
		}
		switch {
		case result.Answered:
			state.failures, state.failuresAt = state.decayedFailures(now)/2, now
		case result.Failure > 0 && result.Failure <= ejectionThreshold:
			state.addSoftFailure(neighborFailureWeight*result.Failure, now)
		}
	}
}
