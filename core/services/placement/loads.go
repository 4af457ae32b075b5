package placement

import (
	"math"
	"sync"
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// externalLoadHalfLife is the half-life of the weight of a target's reported external load. An instance receives a
	// report from a target about every 500 ms, and external load changes within seconds.
	externalLoadHalfLife = 2 * time.Second
	// maxWarmObjects is the maximum number of objects remembered as warm for each target.
	maxWarmObjects = 24
	// failureHalfLife is the half-life of a target's failure score.
	failureHalfLife = 3 * time.Second
	// ejectionThreshold is the failure score at which a target is ejected. A success halves the score.
	ejectionThreshold = 2.5
	// Failure scores added for each outcome: a failed request, a refusal without a load report, a refusal because of a
	// full queue, and a timeout, which a full queue can cause as well.
	failureWeight   = 1.0
	refusalWeight   = 0.5
	queueFullWeight = 0.25
	timeoutWeight   = 0.3
	// softFailureCap limits failures that must not eject a target by themselves to this fraction of ejectionThreshold.
	softFailureCap = 0.9
	// baseEjectionTime is the duration of the first ejection. It doubles with each consecutive ejection up to
	// maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// failureCost is the expected delay of a request to a target that always fails, in multiples of the latency goal.
	failureCost = 2.0
	// initialWarmTime, initialColdTime and initialObjectlessTime are the processing times assumed before the first
	// measurement, in multiples of the latency goal.
	initialWarmTime       = 0.5
	initialColdTime       = 1.6
	initialObjectlessTime = 1.0
	// processingTimeGain is the weight of a new sample in the moving average of processing times.
	processingTimeGain = 0.1
	// slownessHalfLife is the half-life of the excess of a target's slowness over 1.
	slownessHalfLife = 4 * time.Second
	// slownessGain is the weight of a late response or a timeout in a target's slowness.
	slownessGain = 0.25
	// maxSlowness is the maximum slowness of a target, the factor by which it is slower than expected.
	maxSlowness = 16.0
	// maxReportedLoad is the largest number of requests at a target that is believed. A report above it is malformed.
	maxReportedLoad = 10_000
	// maxReportedPace is the largest pace that is believed, in percent.
	maxReportedPace = 10_000
	// idleTargetTTL is how long the state of an unused target is kept.
	idleTargetTTL = 2 * time.Minute
)

// Outcome is the result of an attempt with regard to the health of its target.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswered means a complete response that does not indicate a target failure.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means an error response, an incomplete response or a connection closed without a response.
	OutcomeFailed
	// OutcomeUnreachable means that the connection could not be established or timed out.
	OutcomeUnreachable
	// OutcomeRefused means that the target reported that it did not run the request.
	OutcomeRefused
	// OutcomeMisdirected means that the address now belongs to another target.
	OutcomeMisdirected
	// OutcomeTimedOut means that no response arrived before the request's deadline. A full queue at the target can
	// cause this too.
	OutcomeTimedOut
	// OutcomeCancelled means that the attempt ended for reasons unrelated to the target.
	OutcomeCancelled
)

// Report is the load that a target reports in a response.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine now, in percent of the usual; zero if the target does not tell.
	Pace int
	// Known is false if the response contained no valid load report.
	Known bool
}

// isPlausible reports whether the report can be true.
func (r Report) isPlausible() bool {
	return r.Known && r.Running >= 0 && r.Waiting >= 0 && r.Running <= maxReportedLoad && r.Waiting <= maxReportedLoad && isPlausiblePace(r.Pace)
}

func isPlausiblePace(pace int) bool { return pace >= 0 && pace <= maxReportedPace }

// LoadTracker tracks the load and health of targets as seen by one instance. It is safe for concurrent use.
type LoadTracker struct {
	mu sync.Mutex
	// targets is keyed by target ID.
	targets         map[string]*targetState
	processingTimes map[processingTimeKey]*processingTime
	// objects is keyed by service.
	objects map[string]*objectCounter
	// paces is keyed by service.
	paces map[string]*paceStatistics
	// domainLoads holds the average external load of the targets of each service and failure domain.
	domainLoads map[domainLoadKey]*domainLoad
	// neighbors is keyed by instance ID.
	neighbors map[string]neighborState
	// results holds the latest finished attempts to be sent to neighbors; firstResult is the sequence number of the
	// first one.
	results     []AttemptResult
	firstResult uint64
}

// targetState is the load and health of one target.
type targetState struct {
	// started is the start time that identifies the target's incarnation.
	started int64
	// inFlight is the number of attempts that this instance has in flight.
	inFlight int
	// domainLoad is shared by the targets of a service in a failure domain; nil if only neighbors have used the target.
	domainLoad *domainLoad
	// externalLoad is the load from instances outside the failure domain, as of externalLoadAt.
	externalLoad   float64
	externalLoadAt time.Time
	// pace is the latest report of the target's pace, and paces the statistics of its service; nil if only neighbors have used
	// the target.
	pace  paceReport
	paces *paceStatistics
	// service is empty if only neighbors have used the target.
	service string
	// warmObjects maps recently served objects to the time of their last response; at most maxWarmObjects.
	warmObjects map[string]time.Time
	// failures is the failure score as of failuresAt.
	failures   float64
	failuresAt time.Time
	// ejectedUntil is the end of the latest ejection; ejections counts consecutive ejections.
	ejectedUntil time.Time
	ejections    int
	// slowness is the ratio of actual to expected response time, at least 1, as of slownessAt.
	slowness   float64
	slownessAt time.Time
	// longResponses counts consecutive responses that took at least longRatio times as long as expected.
	longResponses int
	// hints is what the target has said about the requests that it wants.
	hints  hintState
	usedAt time.Time
}

// processingTimeKey identifies requests with similar processing times.
type processingTimeKey struct {
	service string
	goal    time.Duration
}

// processingTime holds the average processing times, in seconds.
type processingTime struct {
	// warm and cold are those of requests for objects that the target has and has not served recently, objectless those
	// of requests without an object.
	warm, cold, objectless float64
	// spread is the distribution of the times that are averaged in warm.
	spread workSpread
}

// average returns the average processing time of the requests for an object.
func (t *processingTime) average(object string, warm bool) *float64 {
	switch {
	case object == "":
		return &t.objectless
	case warm:
		return &t.warm
	default:
		return &t.cold
	}
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		targets: map[string]*targetState{}, processingTimes: map[processingTimeKey]*processingTime{},
		objects: map[string]*objectCounter{}, paces: map[string]*paceStatistics{}, domainLoads: map[domainLoadKey]*domainLoad{}, neighbors: map[string]neighborState{},
	}
}

type estimate struct {
	load    float64
	warm    bool
	ejected bool
	// leaving is true if the target has said that it leaves.
	leaving bool
	// limited is true if the target names a limit, and limit is that limit in requests per second.
	limited bool
	limit   float64
	// idle is true if this instance has no request at the target.
	idle bool
	// availableIn is how long the target wants no requests; zero or negative if it takes them.
	availableIn time.Duration
	// ejectedFor is the rest of the ejection.
	ejectedFor time.Duration
	// turnover is the estimated time in which one request leaves the target while all its slots are in use.
	turnover time.Duration
	// wait is the estimated time until a slot is free, expected the estimated response time.
	wait, expected time.Duration
	// pace is the factor for the target's pace in both.
	pace float64
	// risk is the expected additional wait if other requests reach the target first; zero for targets that report no pace.
	risk time.Duration
}

func (l *LoadTracker) stateOf(t roster.Target) *targetState {
	state, ok := l.targets[t.ID]
	if !ok || state.started < t.Started {
		if !ok && len(l.targets) > 0 && len(l.targets)%256 == 0 {
			l.evictIdle()
		}
		inFlight := 0
		if ok {
			inFlight = state.inFlight
		}
		state = &targetState{started: t.Started, inFlight: inFlight, warmObjects: map[string]time.Time{}, slowness: 1}
		l.targets[t.ID] = state
	}
	if state.domainLoad == nil && t.Service != "" {
		state.domainLoad, state.paces, state.service = l.domainLoadOf(t), l.pacesOf(t.Service), t.Service
	}
	return state
}

func (l *LoadTracker) evictIdle() {
	for id, t := range l.targets {
		idle := time.Since(t.usedAt)
		if t.inFlight == 0 && idle > idleTargetTTL && (t.hints.isEmpty(time.Now()) || idle > hintTTL) {
			delete(l.targets, id)
		}
	}
}

func (l *LoadTracker) pacesOf(service string) *paceStatistics {
	paces, ok := l.paces[service]
	if !ok {
		paces = newPaceStatistics()
		l.paces[service] = paces
	}
	return paces
}

// setPace stores a pace that the target has reported at the given time; zero is none.
func (s *targetState) setPace(pace int, at time.Time) {
	if pace > 0 && s.paces != nil {
		s.paces.update(&s.pace, pace, at)
	}
}

// paceFactor returns the factor by which work at the target takes longer than on average.
func (s *targetState) paceFactor(now time.Time) float64 {
	if s.paces == nil {
		return 1
	}
	return s.paces.factor(s.pace, now)
}

func (l *LoadTracker) processingTimeOf(service string, goal time.Duration) *processingTime {
	key := processingTimeKey{service: service, goal: goal}
	times, ok := l.processingTimes[key]
	if !ok {
		times = &processingTime{
			warm: initialWarmTime * goal.Seconds(), cold: initialColdTime * goal.Seconds(), objectless: initialObjectlessTime * goal.Seconds(),
			spread: newWorkSpread(),
		}
		l.processingTimes[key] = times
	}
	return times
}

// estimate estimates load, health and response time for a request at a target. An object is assumed to be warm at the
// first target of its ranking, as other instances send it there too.
func (l *LoadTracker) estimate(t roster.Target, service, object string, firstChoice bool, goal time.Duration, now time.Time) estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(t)
	times := l.processingTimeOf(service, goal)
	// After an ejection, one attempt at a time probes whether the target has recovered.
	probing := state.ejections > 0 && state.inFlight > 0
	e := estimate{
		load: l.totalLoad(t.ID, state, now), ejected: probing || now.Before(state.ejectedUntil), idle: state.inFlight == 0,
		leaving: state.hints.leaving, limited: state.hints.limited, limit: state.hints.limit, availableIn: state.hints.availableIn(now),
		pace: state.paceFactor(now), ejectedFor: state.ejectedUntil.Sub(now),
	}
	if _, e.warm = state.warmObjects[object]; firstChoice && object != "" {
		e.warm = true
	}
	slowness := state.decayedSlowness(now) * e.pace
	seconds := *times.average(object, e.warm) * slowness
	e.turnover = time.Duration(times.warm * slowness / float64(t.Slots) * float64(time.Second))
	if state.pace.pace > 0 {
		e.turnover = time.Duration(times.spread.mean * float64(e.turnover))
	}
	if excess := e.load + 1 - float64(t.Slots); excess > 0 {
		wait := state.wait(times, excess, t.Slots) * times.warm * slowness
		e.wait = time.Duration(wait * float64(time.Second))
		seconds += wait
	}
	if state.pace.pace > 0 {
		risk := min(1, e.load/float64(t.Slots)) * times.spread.remaining() * times.warm * slowness
		e.risk = time.Duration(risk * float64(time.Second))
	}
	failureRatio := min(1, state.decayedFailures(now)/ejectionThreshold)
	seconds += failureRatio * failureCost * goal.Seconds()
	e.expected = time.Duration(seconds * float64(time.Second))
	return e
}

// wait returns the expected time until a slot of the target is free, in multiples of the average processing time. excess is the
// number of requests that exceed the slots. The distribution of processing times is used for targets that report their pace,
// because it can be told from slow machines only there.
func (s *targetState) wait(times *processingTime, excess float64, slots int) float64 {
	if s.pace.pace > 0 {
		return times.spread.wait(excess, slots)
	}
	return excess / float64(slots)
}

// totalLoad returns the estimated number of requests at a target. As the target's reported external load ages, it is
// replaced by the average external load of its failure domain.
func (l *LoadTracker) totalLoad(id string, state *targetState, now time.Time) float64 {
	weight := decay(now.Sub(state.externalLoadAt), externalLoadHalfLife)
	return float64(state.inFlight) + l.neighborLoad(id, now) + state.externalLoad*weight + state.domainLoad.decayed(now)*(1-weight)
}

func (s *targetState) decayedFailures(now time.Time) float64 {
	return s.failures * decay(now.Sub(s.failuresAt), failureHalfLife)
}

func (s *targetState) decayedSlowness(now time.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Begin counts an attempt at a target as in flight.
func (l *LoadTracker) Begin(t roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(t)
	state.inFlight++
	state.usedAt = time.Now()
}

// Attempt describes a finished attempt.
type Attempt struct {
	Target      roster.Target
	Service     string
	Object      string
	LatencyGoal time.Duration
	// Duration is the time from sending the request to the response.
	Duration time.Duration
	// Load and Warm are the estimates from when the target was selected.
	Load    float64
	Warm    bool
	Outcome Outcome
	Report  Report
	Hints   Hints
}

// End records a finished attempt and updates the target's load and health. It reports whether the attempt caused the
// target to be ejected.
func (l *LoadTracker) End(a Attempt) (ejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(a.Target)
	state.inFlight = max(0, state.inFlight-1)
	now := time.Now()
	if a.Target.Started < state.started {
		// The target has restarted since; what the earlier incarnation said and did tells nothing about this one.
		return false
	}
	state.hints.apply(a.Hints, now)
	result := AttemptResult{Target: a.Target.ID, Started: a.Target.Started, Outside: unknownLoad, Leaving: a.Hints.Leaving, Limit: a.Hints.Limit, LimitRate: a.Hints.LimitRate}
	if a.Report.isPlausible() {
		state.externalLoad = max(0, float64(a.Report.Running+a.Report.Waiting-state.inFlight)-l.neighborLoad(a.Target.ID, now))
		state.externalLoadAt = now
		state.domainLoad.update(state.externalLoad, now)
		result.Outside = state.externalLoad
		state.setPace(a.Report.Pace, now)
		result.Pace = a.Report.Pace
	}
	switch a.Outcome {
	case OutcomeAnswered:
		state.failures, state.failuresAt, state.ejections = state.decayedFailures(now)/2, now, 0
		state.markWarm(a.Object, now)
		l.recordResponse(state, a, now)
		result.Object, result.Answered = a.Object, true
	case OutcomeFailed:
		result.Failure = failureWeight
	case OutcomeRefused:
		if a.Hints.Pause > 0 {
			break
		}
		if a.Report.Known {
			state.addSoftFailure(queueFullWeight, now)
		} else {
			result.Failure = refusalWeight
		}
	case OutcomeTimedOut:
		result.Failure = timeoutWeight
		state.recordTimeout(a.Duration, l.processingTimeOf(a.Service, a.LatencyGoal), now)
	case OutcomeUnreachable, OutcomeMisdirected:
		result.Failure = ejectionThreshold
	case OutcomeCancelled:
	}
	l.appendResult(result)
	return result.Failure > 0 && state.addFailure(result.Failure, now)
}

// recordTimeout raises the slowness of a target after an attempt that timed out: its response time is at least took.
func (s *targetState) recordTimeout(took time.Duration, times *processingTime, now time.Time) {
	if current := s.decayedSlowness(now); took.Seconds() > times.cold*current {
		s.slowness, s.slownessAt = min(current+slownessGain*(took.Seconds()/times.cold-current), maxSlowness), now
	}
}

// recordResponse updates the slowness of the target, and the average processing time if the request did not have to wait
// for a slot.
func (l *LoadTracker) recordResponse(state *targetState, a Attempt, now time.Time) {
	times := l.processingTimeOf(a.Service, a.LatencyGoal)
	average := times.average(a.Object, a.Warm)
	expected := *average
	if excess := a.Load + 1 - float64(a.Target.Slots); excess > 0 {
		expected += state.wait(times, excess, a.Target.Slots) * times.warm
	} else {
		if average == &times.warm {
			times.spread.add(a.Duration.Seconds() / (times.warm * state.paceFactor(now)))
		}
		*average += processingTimeGain * (min(a.Duration.Seconds(), 2**average) - *average)
	}
	// A reported pace explains a late response by itself, and it changes faster than the slowness decays.
	if a.Report.isPlausible() && a.Report.Pace > 0 {
		expected *= max(1, state.paceFactor(now))
	}
	// A single fast response resets the slowness. A late response raises it only partly, as the target may have evicted
	// the object.
	ratio := min(max(a.Duration.Seconds()/expected, 1), maxSlowness)
	current := state.decayedSlowness(now)
	if state.isUsualLongResponse(ratio, times) {
		return
	}
	if ratio > current {
		ratio = current + slownessGain*(ratio-current)
	}
	state.slowness, state.slownessAt = ratio, now
}

// isUsualLongResponse reports whether a response that took ratio times as long as expected says nothing about the target, because
// a share of the service's work takes that long everywhere. Two in a row are rare enough to say something.
func (s *targetState) isUsualLongResponse(ratio float64, times *processingTime) bool {
	if ratio < longRatio {
		s.longResponses = 0
		return false
	}
	s.longResponses++
	return s.longResponses == 1 && s.pace.pace > 0 && times.spread.long >= usualLongShare
}

// addSoftFailure adds to the failure score without reaching ejectionThreshold.
func (s *targetState) addSoftFailure(weight float64, now time.Time) {
	current := s.decayedFailures(now)
	s.failures, s.failuresAt = max(current, min(current+weight, ejectionThreshold*softFailureCap)), now
}

func (s *targetState) addFailure(weight float64, now time.Time) bool {
	s.failures, s.failuresAt = s.decayedFailures(now)+weight, now
	if s.failures < ejectionThreshold || now.Before(s.ejectedUntil) {
		return false
	}
	duration := min(baseEjectionTime<<s.ejections, maxEjectionTime)
	s.ejections = min(s.ejections+1, 8)
	s.ejectedUntil = now.Add(duration)
	s.failures = ejectionThreshold / 2
	return true
}

func (s *targetState) markWarm(object string, now time.Time) {
	if object == "" {
		return
	}
	if _, ok := s.warmObjects[object]; !ok && len(s.warmObjects) >= maxWarmObjects {
		oldest, oldestAt := "", now
		for name, servedAt := range s.warmObjects {
			if !servedAt.After(oldestAt) {
				oldest, oldestAt = name, servedAt
			}
		}
		delete(s.warmObjects, oldest)
	}
	s.warmObjects[object] = now
}
