package steering

import (
	"math"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// ramps lets the limits of shifts and of cold targets grow from the moment at which this instance learnt of them, so
// that no instance ever permits more than an instance that learnt of them earlier.
type ramps struct {
	// shifts and targets are keyed by name.
	shifts  map[string]shiftRamp
	targets map[string]targetRamp
	// started is false until the first configuration; its targets are taken for warm.
	started bool
}

// shiftRamp is the growth of one shift's cap.
type shiftRamp struct {
	spec resource.Shift
	// from is the cap permitted at since.
	from  float64
	since time.Time
}

// targetRamp is the growth of one target's slots.
type targetRamp struct {
	address string
	// since is when the target was added; zero for a warm target.
	since time.Time
}

// learn notes what a configuration has added or changed.
func (r *ramps) learn(s resource.Snapshot, now time.Time) {
	shifts := map[string]shiftRamp{}
	for _, shift := range s.List(resource.KindShift) {
		spec := shift.Spec.(resource.Shift)
		known, ok := r.shifts[shift.Name]
		switch {
		case ok && known.spec == spec:
		case ok && sameMove(known.spec, spec):
			known = shiftRamp{spec: spec, from: min(known.permitted(now), spec.Cap), since: now}
		default:
			known = shiftRamp{spec: spec, since: now}
		}
		shifts[shift.Name] = known
	}
	targets := map[string]targetRamp{}
	for _, t := range s.List(resource.KindTarget) {
		address := t.Spec.(resource.Target).Address
		known, ok := r.targets[t.Name]
		if !ok || known.address != address {
			known = targetRamp{address: address}
			if r.started {
				known.since = now
			}
		}
		targets[t.Name] = known
	}
	r.shifts, r.targets, r.started = shifts, targets, len(targets) > 0 || r.started
}

// apply lowers the limits to what the ramps permit now and reports whether one of them is still growing.
func (r *ramps) apply(limits map[share.Account]share.Limit, s resource.Snapshot, now time.Time) bool {
	growing := false
	for name, ramp := range r.shifts {
		permitted := ramp.permitted(now)
		limits[share.Account{Kind: share.KindShift, Name: name}] = capped(permitted, 1)
		growing = growing || permitted < ramp.spec.Cap
	}
	for _, service := range s.List(resource.KindService) {
		length := time.Duration(service.Spec.(resource.Service).ColdRamp)
		for _, t := range s.TargetsOf(service.Name) {
			passed := now.Sub(r.targets[t.Name].since)
			if length <= 0 || passed >= length {
				continue
			}
			a := share.Account{Kind: share.KindTarget, Name: t.Name}
			limit := limits[a]
			limit.Units = max(1, int(float64(t.Slots)*passed.Seconds()/length.Seconds()))
			limits[a] = limit
			growing = true
		}
	}
	return growing
}

// permitted returns the cap that holds now.
func (r shiftRamp) permitted(now time.Time) float64 {
	if r.spec.Pace <= 0 {
		return r.spec.Cap
	}
	return math.Min(r.spec.Cap, r.from+r.spec.Pace*now.Sub(r.since).Seconds())
}

func sameMove(a, b resource.Shift) bool {
	return a.Service == b.Service && a.From == b.From && a.To == b.To
}
