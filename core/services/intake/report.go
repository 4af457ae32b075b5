package intake

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/meter"
)

// reportInterval is the shortest time between two log lines with the same reason.
const reportInterval = time.Second

// Reporter counts what is refused or closed, and logs it at most once per reportInterval for each reason. It is safe for
// concurrent use.
type Reporter struct {
	meter  *meter.Meter
	logger *zap.Logger
	now    func() time.Time

	mu sync.Mutex
	// loggedAt is when a reason was last logged, unlogged the number of times that it has been reported since.
	loggedAt map[Reason]time.Time
	unlogged map[Reason]int
}

// NewReporter returns a reporter.
func NewReporter(m *meter.Meter, logger *zap.Logger) *Reporter {
	return &Reporter{meter: m, logger: logger, now: time.Now, loggedAt: map[Reason]time.Time{}, unlogged: map[Reason]int{}}
}

// Report counts and perhaps logs one refusal.
func (r *Reporter) Report(reason Reason) {
	r.meter.Count("medlarpond_intake_refusals_total", "reason", string(reason))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[reason]++
	now := r.now()
	if last, ok := r.loggedAt[reason]; ok && now.Sub(last) < reportInterval {
		return
	}
	r.logger.Warn("refused or closed callers to bound what they occupy", zap.String("reason", string(reason)),
		zap.Int("count", r.unlogged[reason]))
	r.loggedAt[reason], r.unlogged[reason] = now, 0
}
