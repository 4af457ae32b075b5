package forward

import (
	"strconv"
	"strings"
	"sync"

	"go.uber.org/zap"

	"medlarpond.dev/core/modules/logging"
	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

const (
	// maxReportedFigure is the largest figure of a load report that is accepted.
	maxReportedFigure = 10_000
	// maxLoggedTargets bounds the targets whose malformed reports are logged.
	maxLoggedTargets = 4096
)

// Values of the label "result" of medlarpond_load_reports_total.
const (
	reportOK        = "ok"
	reportMalformed = "malformed"
	reportMissing   = "missing"
)

// loggedTargets holds the IDs of targets for which a line has been logged. It is safe for concurrent use.
type loggedTargets struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add reports whether the ID is new and still fits.
func (l *loggedTargets) add(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ids[id] || len(l.ids) >= maxLoggedTargets {
		return false
	}
	if l.ids == nil {
		l.ids = map[string]bool{}
	}
	l.ids[id] = true
	return true
}

// loadReport returns the load report in the response of a target and counts it. Malformed reports are logged once for each
// target.
func (f *Forwarder) loadReport(id string, response *target.Response) placement.Report {
	values := response.Header.Values(f.Headers.Load)
	report, result := parseLoad(values)
	f.Meter.Count("medlarpond_load_reports_total", "result", result)
	if result == reportMalformed && f.malformedReports.add(id) {
		f.Logger.Warn("ignored a malformed load report; further ones of this target are counted only",
			zap.String(logging.FieldTarget, id), zap.String("target-load", values[0]))
	}
	return report
}

// parseLoad parses the values of a target's load header: running, waiting, slots and possibly pace, in decimal whole numbers
// without a sign. It returns an unknown report unless the result is reportOK.
func parseLoad(values []string) (report placement.Report, result string) {
	if len(values) == 0 {
		return placement.Report{}, reportMissing
	}
	parts := strings.Split(values[0], ",")
	if len(parts) != 3 && len(parts) != 4 {
		return placement.Report{}, reportMalformed
	}
	var numbers [4]int
	for i, part := range parts {
		part = strings.TrimSpace(part)
		n, err := strconv.Atoi(part)
		if err != nil || strings.Trim(part, "0123456789") != "" || n > maxReportedFigure {
			return placement.Report{}, reportMalformed
		}
		numbers[i] = n
	}
	if len(parts) == 4 && numbers[3] == 0 {
		return placement.Report{}, reportMalformed
	}
	return placement.Report{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Pace: numbers[3], Known: true}, reportOK
}
