package placement

import (
	"math"
	"sync"
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// reportHalfLife is the time in which a reported load of other instances loses half of its weight. An instance hears
	// of a target every half second or so, and the load of others changes in seconds.
	reportHalfLife = 2 * time.Second
	// keptObjects bounds the objects that a target is believed to serve faster.
	keptObjects = 24
	// failureHalfLife is the time in which failures of a target lose half of their weight.
	failureHalfLife = 3 * time.Second
	// ejectionThreshold is the weight of failures without a success at which a target is left out.
	ejectionThreshold = 2.5
	// The weights of outcomes against ejectionThreshold: a failure, a refusal without a reason, one for a full queue, and no
	// answer in the time of the request, which a full queue explains too.
	failedWeight  = 1.0
	refusedWeight = 0.5
	fullWeight    = 0.25
	lateWeight    = 0.3
	// suspectFraction is the part of ejectionThreshold that evidence reaches which must not eject a target by itself.
	suspectFraction = 0.9
	// firstEjection and maxEjection bound how long a target is left out; the time doubles with each ejection in a row.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// failureCost is the expected delay of a request at a target that fails every time, in latency goals.
	failureCost = 2.0
	// warmGuess and coldGuess are the expected times of work before any was seen, in latency goals.
	warmGuess = 0.5
	coldGuess = 1.6
	// learning is the weight of a new sample of a time of work.
	learning = 0.1
	// slownessHalfLife is the time in which the belief that a target is slow loses half of its weight.
	slownessHalfLife = 4 * time.Second
	// slownessGain is the weight of a late answer.
	slownessGain = 0.25
	// maxSlowness bounds the factor by which a target is believed to be slower than others.
	maxSlowness = 16.0
	// loadLifetime is how long a target that is not used is remembered.
	loadLifetime = 2 * time.Minute
)

// Outcome is what became of an attempt.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeAnswered is a whole answer that is not a failure of the target.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is an answer that reports a failure, a broken connection, or none at all.
	OutcomeFailed
	// OutcomeUnreachable is a connection that could not be opened or fell silent.
	OutcomeUnreachable
	// OutcomeRefused is the target's statement that it did not run the request.
	OutcomeRefused
	// OutcomeMisdirected means that the address belongs to another target now.
	OutcomeMisdirected
	// OutcomeLate is no answer within the time of the request, which a full queue explains too.
	OutcomeLate
	// OutcomeCancelled says nothing of the target.
	OutcomeCancelled
)

// Report is what a target says of its load.
type Report struct {
	Running, Waiting, Slots int
	// Known is false if the target said nothing.
	Known bool
}

// Loads is what an instance knows of the load and health of targets.
type Loads struct {
	mu sync.Mutex
	// targets is keyed by ID.
	targets map[string]*load
	work    map[workKey]*work
	// usual is the load from outside that the targets of a failure domain have reported lately.
	usual map[usualKey]*usual
	// neighbors is keyed by the ID of an instance.
	neighbors map[string]neighbor
	// news holds the last attempts for neighbors; the first has the number firstNews.
	news      []News
	firstNews uint64
}

// load is the state of one target.
type load struct {
	started int64
	// mine is the number of this instance's attempts under way.
	mine int
	// usual is shared by the targets of a service in a failure domain; nil if only neighbors have used the target.
	usual *usual
	// outside is the load from instances that are no neighbors, at reportedAt.
	outside    float64
	reportedAt time.Time
	// objects maps recently served objects to when they were last served; at most keptObjects.
	objects map[string]time.Time
	// failures is the weight of failures at failedAt.
	failures float64
	failedAt time.Time
	// ejectedUntil ends the present ejection.
	ejectedUntil time.Time
	ejections    int
	// slowness is the factor by which answers were late at slowAt.
	slowness float64
	slowAt   time.Time
	usedAt   time.Time
}

// workKey names the requests whose times of work are alike.
type workKey struct {
	service string
	goal    time.Duration
}

// work holds the usual times of work in seconds, for warm and other objects.
type work struct{ warm, cold float64 }

// NewLoads returns loads that know nothing.
func NewLoads() *Loads {
	return &Loads{
		targets: map[string]*load{}, work: map[workKey]*work{}, usual: map[usualKey]*usual{}, neighbors: map[string]neighbor{},
	}
}

type estimate struct {
	load    float64
	warm    bool
	ejected bool
	// wait is the time until a slot is free, expected the time until the answer.
	wait, expected time.Duration
}

func (l *Loads) of(t roster.Target) *load {
	known, ok := l.targets[t.ID]
	if !ok || known.started != t.Started {
		if !ok && len(l.targets) > 0 && len(l.targets)%256 == 0 {
			l.forgetUnused()
		}
		mine := 0
		if ok {
			mine = known.mine
		}
		known = &load{started: t.Started, mine: mine, objects: map[string]time.Time{}, slowness: 1}
		l.targets[t.ID] = known
	}
	if known.usual == nil && t.Service != "" {
		known.usual = l.usualOf(t)
	}
	return known
}

func (l *Loads) forgetUnused() {
	for id, t := range l.targets {
		if t.mine == 0 && time.Since(t.usedAt) > loadLifetime {
			delete(l.targets, id)
		}
	}
}

func (l *Loads) workOf(service string, goal time.Duration) *work {
	key := workKey{service: service, goal: goal}
	w, ok := l.work[key]
	if !ok {
		w = &work{warm: warmGuess * goal.Seconds(), cold: coldGuess * goal.Seconds()}
		l.work[key] = w
	}
	return w
}

// estimate says what a request would meet at a target. The first target of an object's order is taken to know it, as
// other instances send the object there too.
func (l *Loads) estimate(t roster.Target, service, object string, first bool, goal time.Duration, now time.Time) estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.of(t)
	w := l.workOf(service, goal)
	// After an ejection one attempt at a time shows whether the target is back.
	trying := known.ejections > 0 && known.mine > 0
	e := estimate{load: l.total(t.ID, known, now), ejected: trying || now.Before(known.ejectedUntil)}
	if _, e.warm = known.objects[object]; first && object != "" {
		e.warm = true
	}
	seconds := w.cold
	if e.warm {
		seconds = w.warm
	}
	seconds *= known.slow(now)
	if ahead := e.load + 1 - float64(t.Slots); ahead > 0 {
		wait := ahead / float64(t.Slots) * w.warm * known.slow(now)
		e.wait = time.Duration(wait * float64(time.Second))
		seconds += wait
	}
	failing := min(1, known.failed(now)/ejectionThreshold)
	seconds += failing * failureCost * goal.Seconds()
	e.expected = time.Duration(seconds * float64(time.Second))
	return e
}

// total is the load of a target. What it has reported of others loses weight against what the targets around it report.
func (l *Loads) total(id string, k *load, now time.Time) float64 {
	weight := decay(now.Sub(k.reportedAt), reportHalfLife)
	return float64(k.mine) + l.near(id, now) + k.outside*weight + k.usual.at(now)*(1-weight)
}

func (k *load) failed(now time.Time) float64 {
	return k.failures * decay(now.Sub(k.failedAt), failureHalfLife)
}

func (k *load) slow(now time.Time) float64 {
	return 1 + (k.slowness-1)*decay(now.Sub(k.slowAt), slownessHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Begin counts an attempt.
func (l *Loads) Begin(t roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.of(t)
	known.mine++
	known.usedAt = time.Now()
}

// Attempt is one finished attempt.
type Attempt struct {
	Target  roster.Target
	Service string
	Object  string
	Goal    time.Duration
	// Took is the time from the sending to the answer.
	Took time.Duration
	// Load is what the target was believed to have when the attempt began, Warm whether it knew the object.
	Load    float64
	Warm    bool
	Outcome Outcome
	Report  Report
}

// End counts the end of an attempt and learns from it. It reports whether the target was ejected by it.
func (l *Loads) End(a Attempt) (ejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.of(a.Target)
	known.mine = max(0, known.mine-1)
	now := time.Now()
	news := News{Target: a.Target.ID, Started: a.Target.Started, Outside: unknownLoad}
	if a.Report.Known {
		known.outside = max(0, float64(a.Report.Running+a.Report.Waiting-known.mine)-l.near(a.Target.ID, now))
		known.reportedAt = now
		known.usual.learn(known.outside, now)
		news.Outside = known.outside
	}
	switch a.Outcome {
	case OutcomeAnswered:
		known.failures, known.failedAt, known.ejections = known.failed(now)/2, now, 0
		known.remember(a.Object, now)
		l.learn(known, a, now)
		news.Object, news.Answered = a.Object, true
	case OutcomeFailed:
		news.Failure = failedWeight
	case OutcomeRefused:
		if a.Report.Known {
			known.suspect(fullWeight, now)
		} else {
			news.Failure = refusedWeight
		}
	case OutcomeLate:
		news.Failure = lateWeight
		known.late(a.Took, l.workOf(a.Service, a.Goal), now)
	case OutcomeUnreachable, OutcomeMisdirected:
		news.Failure = ejectionThreshold
	case OutcomeCancelled:
	}
	l.tell(news)
	return news.Failure > 0 && known.fail(news.Failure, now)
}

// late takes an attempt that has got no answer in its time, as one that takes at least as long.
func (k *load) late(took time.Duration, w *work, now time.Time) {
	if present := k.slow(now); took.Seconds() > w.cold*present {
		k.slowness, k.slowAt = min(present+slownessGain*(took.Seconds()/w.cold-present), maxSlowness), now
	}
}

// learn takes the time of an attempt that did not wait for a slot.
func (l *Loads) learn(known *load, a Attempt, now time.Time) {
	w := l.workOf(a.Service, a.Goal)
	usual := &w.cold
	if a.Warm {
		usual = &w.warm
	}
	expected := *usual
	if ahead := a.Load + 1 - float64(a.Target.Slots); ahead > 0 {
		expected += ahead / float64(a.Target.Slots) * w.warm
	} else {
		*usual += learning * (min(a.Took.Seconds(), 2**usual) - *usual)
	}
	// One quick answer disproves slowness; one late answer may have been for an object that the target had forgotten.
	ratio := min(max(a.Took.Seconds()/expected, 1), maxSlowness)
	present := known.slow(now)
	if ratio > present {
		ratio = present + slownessGain*(ratio-present)
	}
	known.slowness, known.slowAt = ratio, now
}

// suspect adds evidence that does not eject the target by itself.
func (k *load) suspect(weight float64, now time.Time) {
	present := k.failed(now)
	k.failures, k.failedAt = max(present, min(present+weight, ejectionThreshold*suspectFraction)), now
}

func (k *load) fail(weight float64, now time.Time) bool {
	k.failures, k.failedAt = k.failed(now)+weight, now
	if k.failures < ejectionThreshold || now.Before(k.ejectedUntil) {
		return false
	}
	pause := min(firstEjection<<k.ejections, maxEjection)
	k.ejections = min(k.ejections+1, 8)
	k.ejectedUntil = now.Add(pause)
	k.failures = ejectionThreshold / 2
	return true
}

func (k *load) remember(object string, now time.Time) {
	if object == "" {
		return
	}
	if _, ok := k.objects[object]; !ok && len(k.objects) >= keptObjects {
		oldest, at := "", now
		for o, t := range k.objects {
			if !t.After(at) {
				oldest, at = o, t
			}
		}
		delete(k.objects, oldest)
	}
	k.objects[object] = now
}
