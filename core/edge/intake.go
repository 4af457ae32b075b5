package edge

import (
	"fmt"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/front"
	"medlarpond.dev/core/services/intake"
	"medlarpond.dev/core/settings"
)

// accounts bound the memory that callers occupy. None can use the part of another, so that lookups and readiness checks are
// answered beside a crowd of requests, and the other way round.
type accounts struct {
	requests, lookups, probes *intake.Account
}

// newAccounts returns the accounts, and makes the router use that of requests.
func newAccounts(s settings.Edge, m *meter.Meter, logger *zap.Logger, router *front.Router) accounts {
	limit := s.Intake.MemoryFraction * float64(s.Memory.LimitMB) * megabyte
	policy := intake.Policy{
		MaxFields: s.Intake.MaxFields, MinProgress: s.Intake.MinProgress, StallTime: s.Intake.StallTime,
		EvictAfter: s.Intake.EvictAfter, BodyTimeout: s.Intake.BodyTimeout, BodyShare: s.Intake.BodyShare,
	}
	refused := intake.NewReporter(m, logger).Report
	newAccount := func(part string, share float64) *intake.Account {
		a := intake.NewAccount(int64(share*limit), policy, refused)
		m.Gauge(fmt.Sprintf("medlarpond_intake_bytes{part=%q}", part), func() float64 { return float64(a.Used()) })
		return a
	}
	requests := newAccount("requests", 1-s.Intake.LookupShare-s.Intake.ProbeShare)
	router.SetAccount(requests)
	return accounts{
		requests: requests, lookups: newAccount("lookups", s.Intake.LookupShare), probes: newAccount("probes", s.Intake.ProbeShare),
	}
}
