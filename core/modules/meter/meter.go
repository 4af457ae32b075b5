// Package meter keeps the metrics of a process. The number of values of the team label is bounded.
package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxTeams is the number of distinct teams with time series of their own; all further teams share overflowLabel.
	maxTeams = 512
	// overflowLabel is the label value that all teams past maxTeams share.
	overflowLabel = "other"
)

// Meter is the set of metrics of one instance.
type Meter struct {
	set *metrics.Set

	mu sync.RWMutex
	// series holds the histogram of each label pair in use; its size is bounded because teams is.
	series map[seriesKey]*metrics.Histogram
	// teams holds the names of the teams with time series of their own, at most maxTeams.
	teams map[string]struct{}
}

type seriesKey struct{ team, class string }

// New returns an empty meter.
func New() *Meter {
	return &Meter{
		set:    metrics.NewSet(),
		series: make(map[seriesKey]*metrics.Histogram),
		teams:  make(map[string]struct{}),
	}
}

// Count adds one to the counter with the given name and label.
func (m *Meter) Count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

// Gauge registers a gauge whose value is read when the metrics are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Observe records the duration of a request in the histogram of the team and class.
func (m *Meter) Observe(team, class string, d time.Duration) {
	m.histogram(team, class).Update(d.Seconds())
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Meter) histogram(team, class string) *metrics.Histogram {
	key := seriesKey{team: team, class: class}
	m.mu.RLock()
	h := m.series[key]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key.team = m.boundedLabel(team)
	h = m.set.GetOrCreateHistogram(fmt.Sprintf("medlarpond_request_duration_seconds{team=%q,class=%q}", key.team, class))
	m.series[key] = h
	return h
}

// boundedLabel returns the label value for a team; the caller must hold mu.
func (m *Meter) boundedLabel(team string) string {
	if _, ok := m.teams[team]; ok {
		return team
	}
	if len(m.teams) >= maxTeams {
		return overflowLabel
	}
	m.teams[team] = struct{}{}
	return team
}
