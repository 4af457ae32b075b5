package placement

import (
	"time"

	"medlarpond.dev/core/models/roster"
)

const (
	// maxHedgeDomainCandidates is the maximum number of targets of a failure domain that are compared for a hedge, so that
	// those of others take part.
	maxHedgeDomainCandidates = 2
	// hedgeDomainCost is the cost of a hedge in the failure domain of the first attempt, in multiples of the latency goal. It is
	// more than the costs of leaving a domain and of a few ranks, and less than the time by which a cold object is slower.
	hedgeDomainCost = 0.4
)

// isHedge reports whether the query is for a hedge, the second of two simultaneous attempts of a request.
func (q Query) isHedge() bool { return q.HedgeOf != nil }

// excludesCold reports whether a target must not be selected because it is cold. Hedges are no reason to use up what cold targets
// can take.
func (q Query) excludesCold(t roster.Target, now time.Time) bool {
	return q.isHedge() && now.Before(t.ColdUntil)
}

// excludesLimited reports whether a target must not be selected because it names a limit.
func (q Query) excludesLimited(e estimate) bool { return q.isHedge() && e.limited }

// maxInDomain returns the maximum number of targets of one failure domain that are compared, given that of a region.
func (q Query) maxInDomain(maxInRegion int) int {
	if q.isHedge() {
		return min(maxInRegion, maxHedgeDomainCandidates)
	}
	return maxInRegion
}

// maxQueue returns the maximum number of requests queued at a target, per slot.
func (q Query) maxQueue() float64 {
	if q.isHedge() {
		return 0
	}
	return q.MaxQueuePerSlot
}

// homeRegion returns the region that the object of the request uses, as far as the limit on shifts is concerned. The candidates
// for a hedge lack the target of the first attempt, so that the first of them may be in another region.
func (q Query) homeRegion(candidates []rankedTarget) string {
	if q.isHedge() {
		return q.HedgeOf.Place.Region
	}
	return candidates[0].target.Place.Region
}

// hedgeCost returns the additional cost of a target for a hedge, in multiples of the latency goal.
func (q Query) hedgeCost(t roster.Target) float64 {
	if q.isHedge() && t.Place == q.HedgeOf.Place {
		return hedgeDomainCost
	}
	return 0
}

// busyShare returns the share of busy slots of the candidates; zero if the query does not ask for it.
func (q Query) busyShare(candidates []rankedTarget) float64 {
	if !q.MeasureBusy {
		return 0
	}
	busy, slots := 0.0, 0.0
	for _, c := range candidates {
		busy += min(c.estimate.load, float64(c.target.Slots))
		slots += float64(c.target.Slots)
	}
	if slots == 0 {
		return 1
	}
	return busy / slots
}
