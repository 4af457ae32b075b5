package share_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/services/share"
)

// oracle sees every use of a limit by all processes together. Limits in tests are whole numbers, so that nanoseconds
// times rate are whole billionths of tokens and the check has no tolerance.
type oracle struct {
	mu    sync.Mutex
	takes map[share.Account][]*taken
	inUse map[share.Account]int
	// force holds the limits in force by process, and those that linger.
	force    map[share.Account]map[string]share.Limit
	linger   []lingeringLimit
	timeline map[share.Account][]limitAt
	// violations are what went wrong.
	violations []string
}

type taken struct {
	at     time.Time
	tokens int
	undone bool
}

type lingeringLimit struct {
	account share.Account
	limit   share.Limit
	until   time.Time
}

type limitAt struct {
	at    time.Time
	limit share.Limit
}

func newOracle() *oracle {
	return &oracle{
		takes: map[share.Account][]*taken{}, inUse: map[share.Account]int{},
		force: map[share.Account]map[string]share.Limit{}, timeline: map[share.Account][]limitAt{},
	}
}

// setLimits notes which limits a process obeys from now on.
func (o *oracle) setLimits(id string, limits map[share.Account]share.Limit, hold time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for a := range limits {
		if o.force[a] == nil {
			o.force[a] = map[string]share.Limit{}
		}
	}
	for a, by := range o.force {
		before := by[id]
		by[id] = limits[a]
		if before != limits[a] {
			until := now.Add(lingering)
			if before.Units > 0 {
				until = until.Add(hold)
			}
			o.linger = append(o.linger, lingeringLimit{a, before, until})
		}
		o.observe(a, now)
	}
}

// observe records the largest limit of an account that anybody may still obey.
func (o *oracle) observe(a share.Account, now time.Time) share.Limit {
	var most share.Limit
	raise := func(l share.Limit) {
		most.Rate, most.Burst, most.Units = max(most.Rate, l.Rate), max(most.Burst, l.Burst), max(most.Units, l.Units)
	}
	for _, l := range o.force[a] {
		raise(l)
	}
	o.linger = slices.DeleteFunc(o.linger, func(l lingeringLimit) bool { return now.After(l.until) })
	for _, l := range o.linger {
		if l.account == a {
			raise(l.limit)
		}
	}
	line := o.timeline[a]
	if len(line) == 0 || line[len(line)-1].limit != most {
		o.timeline[a] = append(line, limitAt{now, most})
	}
	return most
}

func (o *oracle) take(a share.Account, tokens int) *taken {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observe(a, time.Now())
	t := &taken{at: time.Now(), tokens: tokens}
	o.takes[a] = append(o.takes[a], t)
	return t
}

func (o *oracle) undo(t *taken) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.undone = true
}

func (o *oracle) acquire(a share.Account) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inUse[a]++
	if most := o.observe(a, time.Now()); o.inUse[a] > most.Units {
		o.violations = append(o.violations, fmt.Sprintf("%v: %d of %d units in use", a, o.inUse[a], most.Units))
	}
}

func (o *oracle) release(a share.Account) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inUse[a]--
}

func (o *oracle) used(a share.Account) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inUse[a]
}

// takenSince returns the tokens that ran since a time.
func (o *oracle) takenSince(a share.Account, since time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := 0
	for _, t := range o.takes[a] {
		if !t.undone && !t.at.Before(since) {
			sum += t.tokens
		}
	}
	return sum
}

// check replays all takes against one bucket; that bucket runs dry exactly if some window admitted too much.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := slices.Clone(o.violations)
	for a, takes := range o.takes {
		if v := replay(takes, o.timeline[a]); v != "" {
			found = append(found, fmt.Sprintf("%v: %s", a, v))
		}
	}
	return found
}

func replay(takes []*taken, timeline []limitAt) string {
	var limit share.Limit
	var level int64
	var at time.Time
	advance := func(to time.Time) {
		if !at.IsZero() {
			level = min(level+int64(limit.Rate)*int64(to.Sub(at)), int64(limit.Burst)*int64(time.Second))
		}
		at = to
	}
	for _, t := range takes {
		for len(timeline) > 0 && !timeline[0].at.After(t.at) {
			advance(timeline[0].at)
			limit = timeline[0].limit
			level = min(level, int64(limit.Burst)*int64(time.Second))
			timeline = timeline[1:]
		}
		if t.undone {
			continue
		}
		advance(t.at)
		level -= int64(t.tokens) * int64(time.Second)
		if level < 0 {
			return fmt.Sprintf("%d tokens at %s exceed a window by %.9f", t.tokens, t.at.Format("05.000"), -float64(level)/1e9)
		}
	}
	return ""
}
