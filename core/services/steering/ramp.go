package steering

import (
	"math"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

// limitRamps raises the limits of shifts and of cold targets gradually, starting when this instance learned of them.
// So an instance never permits more than one that learned of them earlier.
type limitRamps struct {
	// shifts and targets are keyed by name.
	shifts  map[string]shiftRamp
	targets map[string]targetRamp
	// initialized is false until the first configuration that has targets. Those targets count as warm.
	initialized bool
}

// shiftRamp is the ramp of a shift's cap.
type shiftRamp struct {
	spec resource.Shift
	// startCap is the cap at the time since.
	startCap float64
	since    time.Time
}

// targetRamp is the ramp of a target's slots.
type targetRamp struct {
	address string
	// since is when the target was added; zero for a warm target.
	since time.Time
}

// update starts ramps for the shifts and targets that a configuration adds or changes, and removes those of deleted
// ones.
func (r *limitRamps) update(s resource.Snapshot, now time.Time) {
	shifts := map[string]shiftRamp{}
	for _, shift := range s.List(resource.KindShift) {
		spec := shift.Spec.(resource.Shift)
		ramp, ok := r.shifts[shift.Name]
		switch {
		case ok && ramp.spec == spec:
		case ok && sameRoute(ramp.spec, spec):
			ramp = shiftRamp{spec: spec, startCap: min(ramp.currentCap(now), spec.Cap), since: now}
		default:
			ramp = shiftRamp{spec: spec, since: now}
		}
		shifts[shift.Name] = ramp
	}
	targets := map[string]targetRamp{}
	for _, t := range s.List(resource.KindTarget) {
		address := t.Spec.(resource.Target).Address
		ramp, ok := r.targets[t.Name]
		if !ok || ramp.address != address {
			ramp = targetRamp{address: address}
			if r.initialized {
				ramp.since = now
			}
		}
		targets[t.Name] = ramp
	}
	r.shifts, r.targets, r.initialized = shifts, targets, len(targets) > 0 || r.initialized
}

// apply lowers the limits to the current values of the ramps and reports whether any ramp is unfinished.
func (r *limitRamps) apply(limits map[share.Account]share.Limit, s resource.Snapshot, now time.Time) bool {
	growing := false
	for name, ramp := range r.shifts {
		permitted := ramp.currentCap(now)
		limits[share.Account{Kind: share.KindShift, Name: name}] = limitForCap(permitted, 1)
		growing = growing || permitted < ramp.spec.Cap
	}
	for _, service := range s.List(resource.KindService) {
		rampDuration := time.Duration(service.Spec.(resource.Service).ColdRamp)
		for _, t := range s.TargetsOf(service.Name) {
			elapsed := now.Sub(r.targets[t.Name].since)
			if rampDuration <= 0 || elapsed >= rampDuration {
				continue
			}
			a := share.Account{Kind: share.KindTarget, Name: t.Name}
			limit := limits[a]
			limit.Units = max(1, int(float64(t.Slots)*elapsed.Seconds()/rampDuration.Seconds()))
			limits[a] = limit
			growing = true
		}
	}
	return growing
}

// currentCap returns the cap at the given time.
func (r shiftRamp) currentCap(now time.Time) float64 {
	if r.spec.Pace <= 0 {
		return r.spec.Cap
	}
	return math.Min(r.spec.Cap, r.startCap+r.spec.Pace*now.Sub(r.since).Seconds())
}

func sameRoute(a, b resource.Shift) bool {
	return a.Service == b.Service && a.From == b.From && a.To == b.To
}
