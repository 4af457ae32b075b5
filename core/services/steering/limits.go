package steering

import (
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

const (
	// burstFraction is the part of a cap or budget that may be used at once; the rest is its rate, so that no window
	// of a second or longer exceeds the cap.
	burstFraction = 0.1
	// minRateFraction keeps a small cap from being burst only.
	minRateFraction = 0.5
	// holdMargin is how long after its request's deadline a unit may still be in use, by a caller that reads slowly or a
	// target that has yet to learn of a cancellation.
	holdMargin = 2 * time.Second
)

// Limits returns what a configuration permits the whole fleet: the limit of every account. An account that is missing
// permits nothing.
func Limits(s resource.Snapshot) map[share.Account]share.Limit {
	limits := map[share.Account]share.Limit{}
	hold := longestRequest(s) + holdMargin
	for _, r := range s.List(resource.KindTeam) {
		t := r.Spec.(resource.Team)
		limits[share.Account{Kind: share.KindTeam, Name: r.Name}] = share.Limit{Rate: t.Rate, Burst: t.Burst}
	}
	for _, r := range s.List(resource.KindRegion) {
		units := r.Spec.(resource.Region).Capacity
		limits[share.Account{Kind: share.KindRegion, Name: r.Name}] = share.Limit{Units: units, Hold: hold, Region: r.Name}
	}
	for _, r := range s.List(resource.KindFailureDomain) {
		d := r.Spec.(resource.FailureDomain)
		if d.Capacity > 0 {
			limits[share.Account{Kind: share.KindFailureDomain, Name: r.Name}] = share.Limit{Units: d.Capacity, Hold: hold, Region: d.Region}
		}
	}
	for _, r := range s.List(resource.KindService) {
		service := r.Spec.(resource.Service)
		for _, t := range s.TargetsOf(r.Name) {
			limits[share.Account{Kind: share.KindTarget, Name: t.Name}] = share.Limit{
				Units: t.Slots, Hold: time.Duration(service.RequestTimeout) + holdMargin, Region: t.Region,
			}
		}
	}
	for _, r := range s.List(resource.KindShift) {
		limits[share.Account{Kind: share.KindShift, Name: r.Name}] = capped(r.Spec.(resource.Shift).Cap, 1)
	}
	largest := largestRequest(s)
	for _, r := range s.List(resource.KindLink) {
		budget := float64(r.Spec.(resource.Link).BytesPerSecond)
		limits[share.Account{Kind: share.KindLink, Name: r.Name}] = capped(budget, largest)
	}
	return limits
}

// capped returns a rate and a burst that together stay within a cap in every window of a second or longer. The burst
// holds at least one item of the given size.
func capped(limit, size float64) share.Limit {
	if limit <= 0 {
		return share.Limit{}
	}
	burst := max(size, limit*burstFraction)
	return share.Limit{Rate: max(limit-burst, limit*minRateFraction), Burst: burst}
}

func longestRequest(s resource.Snapshot) time.Duration {
	var longest time.Duration
	for _, r := range s.List(resource.KindService) {
		longest = max(longest, time.Duration(r.Spec.(resource.Service).RequestTimeout))
	}
	return longest
}

func largestRequest(s resource.Snapshot) float64 {
	var largest int64
	for _, r := range s.List(resource.KindService) {
		largest = max(largest, r.Spec.(resource.Service).RequestBytes)
	}
	return float64(largest)
}
