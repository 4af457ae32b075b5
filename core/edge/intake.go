package edge

import (
	"fmt"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/front"
	"medlarpond.dev/core/services/intake"
	"medlarpond.dev/core/settings"
)

// accounts bound the memory that callers occupy. Each has a share that the others cannot use, so that lookups and readiness checks are
// answered beside a crowd of requests, and the other way round.
type accounts struct {
	requests, lookups, probes *intake.Account
}

// newAccounts returns the accounts, and makes the router use that of requests.
func newAccounts(s settings.Edge, m *meter.Meter, logger *zap.Logger, router *front.Router) accounts {
	i := s.Intake
	list := intake.NewAccounts(int64(i.MemoryFraction*float64(s.Memory.LimitMB)*megabyte), intake.Policy{
		MaxFields: i.MaxFields, MinProgress: i.MinProgress, StallTime: i.StallTime, EvictAfter: i.EvictAfter,
		BodyTimeout: i.BodyTimeout, BodyShare: i.BodyShare,
	}, intake.NewReporter(m, logger).Report, i.RequestShare, i.LookupShare, i.ProbeShare)
	for n, part := range []string{"requests", "lookups", "probes"} {
		m.Gauge(fmt.Sprintf("medlarpond_intake_bytes{part=%q}", part), func() float64 { return float64(list[n].Used()) })
	}
	router.SetAccount(list[0])
	return accounts{requests: list[0], lookups: list[1], probes: list[2]}
}
