package steering

import (
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/share"
)

const (
	// burstFraction is the fraction of a cap or budget that becomes the burst. The rest becomes the rate, so that no
	// window of a second or longer exceeds the cap.
	burstFraction = 0.1
	// minRateFraction is the least fraction of a cap that becomes the rate, so that a small cap does not consist of
	// burst only.
	minRateFraction = 0.5
	// holdMargin is how long a unit may stay in use after its request's deadline, because a caller reads slowly or a
	// target has not yet noticed a cancellation.
	holdMargin = 2 * time.Second
)

// Limits returns the limit of every account for the whole fleet. An account that is missing permits nothing.
func Limits(s resource.Snapshot) map[share.Account]share.Limit {
	limits := map[share.Account]share.Limit{}
	hold := longestRequestTimeout(s) + holdMargin
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
		limits[share.Account{Kind: share.KindShift, Name: r.Name}] = limitForCap(r.Spec.(resource.Shift).Cap, 1)
	}
	largest := largestRequestBytes(s)
	for _, r := range s.List(resource.KindLink) {
		budget := float64(r.Spec.(resource.Link).BytesPerSecond)
		limits[share.Account{Kind: share.KindLink, Name: r.Name}] = limitForCap(budget, largest)
	}
	return limits
}

// limitForCap splits a cap per second into a rate and a burst that together stay within the cap in every window of a
// second or longer. The burst is at least minBurst, so that the largest charge of one request fits.
func limitForCap(maxRate, minBurst float64) share.Limit {
	if maxRate <= 0 {
		return share.Limit{}
	}
	burst := max(minBurst, maxRate*burstFraction)
	return share.Limit{Rate: max(maxRate-burst, maxRate*minRateFraction), Burst: burst}
}

func longestRequestTimeout(s resource.Snapshot) time.Duration {
	var longest time.Duration
	for _, r := range s.List(resource.KindService) {
		longest = max(longest, time.Duration(r.Spec.(resource.Service).RequestTimeout))
	}
	return longest
}

func largestRequestBytes(s resource.Snapshot) float64 {
	var largest int64
	for _, r := range s.List(resource.KindService) {
		largest = max(largest, r.Spec.(resource.Service).RequestBytes)
	}
	return float64(largest)
}
