package share_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"medlarpond.dev/core/services/share"
)

// oracle records every use of a limit by all processes together. Limits in tests are integers, so that nanoseconds
// times rate are whole nanotokens and the check needs no tolerance.
type oracle struct {
	mu    sync.Mutex
	takes map[share.Account][]*takeRecord
	inUse map[share.Account]int
	// appliedLimits holds the limits that each process applies, and previousLimits earlier ones that may still be in
	// use.
	appliedLimits  map[share.Account]map[string]share.Limit
	previousLimits []previousLimit
	timeline       map[share.Account][]timedLimit
	// violations describes the uses of units beyond their limit.
	violations []string
}

type takeRecord struct {
	at       time.Time
	tokens   int
	refunded bool
}

type previousLimit struct {
	account   share.Account
	limit     share.Limit
	expiresAt time.Time
}

type timedLimit struct {
	at    time.Time
	limit share.Limit
}

func newOracle() *oracle {
	return &oracle{
		takes: map[share.Account][]*takeRecord{}, inUse: map[share.Account]int{},
		appliedLimits: map[share.Account]map[string]share.Limit{}, timeline: map[share.Account][]timedLimit{},
	}
}

// setLimits records which limits a process applies from now on.
func (o *oracle) setLimits(id string, limits map[share.Account]share.Limit, hold time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for a := range limits {
		if o.appliedLimits[a] == nil {
			o.appliedLimits[a] = map[string]share.Limit{}
		}
	}
	for a, limitByID := range o.appliedLimits {
		before := limitByID[id]
		limitByID[id] = limits[a]
		if before != limits[a] {
			until := now.Add(previousLimitTTL)
			if before.Units > 0 {
				until = until.Add(hold)
			}
			o.previousLimits = append(o.previousLimits, previousLimit{a, before, until})
		}
		o.recordMaxLimit(a, now)
	}
}

// recordMaxLimit records and returns the largest limit of an account that any process may still apply.
func (o *oracle) recordMaxLimit(a share.Account, now time.Time) share.Limit {
	var maxLimit share.Limit
	raise := func(l share.Limit) {
		maxLimit.Rate, maxLimit.Burst, maxLimit.Units = max(maxLimit.Rate, l.Rate), max(maxLimit.Burst, l.Burst), max(maxLimit.Units, l.Units)
	}
	for _, l := range o.appliedLimits[a] {
		raise(l)
	}
	o.previousLimits = slices.DeleteFunc(o.previousLimits, func(l previousLimit) bool { return now.After(l.expiresAt) })
	for _, l := range o.previousLimits {
		if l.account == a {
			raise(l.limit)
		}
	}
	timeline := o.timeline[a]
	if len(timeline) == 0 || timeline[len(timeline)-1].limit != maxLimit {
		o.timeline[a] = append(timeline, timedLimit{now, maxLimit})
	}
	return maxLimit
}

func (o *oracle) take(a share.Account, tokens int) *takeRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordMaxLimit(a, time.Now())
	t := &takeRecord{at: time.Now(), tokens: tokens}
	o.takes[a] = append(o.takes[a], t)
	return t
}

func (o *oracle) refund(t *takeRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.refunded = true
}

func (o *oracle) acquire(a share.Account) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inUse[a]++
	if limit := o.recordMaxLimit(a, time.Now()); o.inUse[a] > limit.Units {
		o.violations = append(o.violations, fmt.Sprintf("%v: got %d units in use, want at most %d", a, o.inUse[a], limit.Units))
	}
}

func (o *oracle) release(a share.Account) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inUse[a]--
}

func (o *oracle) unitsInUse(a share.Account) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inUse[a]
}

// takenSince returns the tokens taken since a time, without refunded ones.
func (o *oracle) takenSince(a share.Account, since time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := 0
	for _, t := range o.takes[a] {
		if !t.refunded && !t.at.Before(since) {
			sum += t.tokens
		}
	}
	return sum
}

// checkTakes replays all takes against one bucket, which runs out exactly if some window admitted too much.
func (o *oracle) checkTakes() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	problems := slices.Clone(o.violations)
	for a, takes := range o.takes {
		if v := replay(takes, o.timeline[a]); v != "" {
			problems = append(problems, fmt.Sprintf("%v: %s", a, v))
		}
	}
	return problems
}

func replay(takes []*takeRecord, timeline []timedLimit) string {
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
		if t.refunded {
			continue
		}
		advance(t.at)
		level -= int64(t.tokens) * int64(time.Second)
		if level < 0 {
			return fmt.Sprintf("take of %d tokens at second %s exceeds the limit of a window by %.9f tokens", t.tokens, t.at.Format("05.000"), -float64(level)/1e9)
		}
	}
	return ""
}
