package load

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"medlarpond.dev/bench/latency"
	"medlarpond.dev/core/standin/target"
)

// Report describes the outcomes of a run as seen by callers.
type Report struct {
	Sent   int          `json:"sent"`
	Groups []GroupStats `json:"groups"`
	// WorstTeam is the team with the smallest ratio of answered requests, including those above its rate, to requests within its
	// rate. WorstFraction is that ratio, at most 1.
	WorstFraction float64      `json:"worst"`
	WorstTeam     string       `json:"worst-team"`
	Events        []FaultEvent `json:"events"`
	// Targets has the counters of the stand-in targets of the plan.
	Targets []TargetStats `json:"targets"`
	// Seconds has an element for each second of the run.
	Seconds []SecondStats `json:"seconds"`
}

// GroupStats describes the outcomes of one team's requests to one service.
type GroupStats struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Sent    int    `json:"sent"`
	// Answered has the number and the latencies of answered requests; latencies count from the scheduled time.
	Answered latency.Summary `json:"answered"`
	// Refusals and Failures are counts by reason.
	Refusals map[string]int `json:"refusals"`
	Failures map[string]int `json:"failures"`
	// WithinRate is the number of requests that the team's rate and burst permit, and WrongfulRefusals the number of those that
	// were refused.
	WithinRate       int `json:"within-rate"`
	WrongfulRefusals int `json:"wrongful"`
}

// TargetStats has the counters of a stand-in target. Served and Shed cover only the run; Peak is the target's peak since its start.
type TargetStats struct {
	Name   string `json:"name"`
	Slots  int64  `json:"slots"`
	Peak   int64  `json:"peak"`
	Served int64  `json:"served"`
	Shed   int64  `json:"shed"`
}

// ExceededSlots reports whether the target received more concurrent requests than it has slots.
func (c TargetStats) ExceededSlots() bool { return c.Shed > 0 || c.Peak > c.Slots }

// SecondStats describes the outcomes of the requests that were scheduled within one second.
type SecondStats struct {
	Answered latency.Summary `json:"answered"`
	Refused  int             `json:"refused"`
	Failed   int             `json:"failed"`
}

func newReport(p *Plan, outcomes []outcome, events []FaultEvent, before, after []target.Load) Report {
	r := Report{Sent: len(outcomes), Events: events, Groups: groupOutcomes(outcomes), Seconds: summarizeSeconds(p, outcomes)}
	r.WorstTeam, r.WorstFraction = worstTeam(r.Groups)
	for i := range after {
		r.Targets = append(r.Targets, TargetStats{
			Name: after[i].Name, Slots: after[i].Slots, Peak: after[i].PeakRunning,
			Served: after[i].Served - before[i].Served, Shed: after[i].Shed - before[i].Shed,
		})
	}
	return r
}

func groupOutcomes(outcomes []outcome) []GroupStats {
	type key struct{ team, service string }
	byKey := map[key]*GroupStats{}
	samples := map[key][]time.Duration{}
	for _, o := range outcomes {
		k := key{o.team.Name, o.stream.Service}
		g := byKey[k]
		if g == nil {
			g = &GroupStats{Team: k.team, Service: k.service, Refusals: map[string]int{}, Failures: map[string]int{}}
			byKey[k] = g
		}
		g.add(o)
		if o.refusal == "" && o.failure == "" {
			samples[k] = append(samples[k], o.latency)
		}
	}
	var all []GroupStats
	for k, g := range byKey {
		g.Answered = latency.Summarize(samples[k])
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b GroupStats) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
	return all
}

func (g *GroupStats) add(o outcome) {
	g.Sent++
	if o.withinRate {
		g.WithinRate++
	}
	switch {
	case o.failure != "":
		g.Failures[o.failure]++
	case o.refusal != "":
		g.Refusals[o.refusal]++
		if o.withinRate {
			g.WrongfulRefusals++
		}
	}
}

// worstTeam returns the team with the smallest ratio of answered requests to requests that its rate permits, and that ratio, at most 1.
func worstTeam(groups []GroupStats) (team string, fraction float64) {
	within, answered := map[string]int{}, map[string]int{}
	for _, g := range groups {
		within[g.Team] += g.WithinRate
		answered[g.Team] += g.Answered.Count
	}
	fraction = 1
	for _, name := range slices.Sorted(maps.Keys(within)) {
		if within[name] == 0 {
			continue
		}
		if answeredFraction := min(float64(answered[name])/float64(within[name]), 1); answeredFraction < fraction || team == "" {
			team, fraction = name, answeredFraction
		}
	}
	return team, fraction
}

func summarizeSeconds(p *Plan, outcomes []outcome) []SecondStats {
	all := make([]SecondStats, int((p.Duration+time.Second-1)/time.Second))
	samples := make([][]time.Duration, len(all))
	for _, o := range outcomes {
		i := min(int(o.due/time.Second), len(all)-1)
		switch {
		case o.failure != "":
			all[i].Failed++
		case o.refusal != "":
			all[i].Refused++
		default:
			samples[i] = append(samples[i], o.latency)
		}
	}
	for i := range all {
		all[i].Answered = latency.Summarize(samples[i])
	}
	return all
}

// targetLoads reads the counters of the targets. The counters of a target that does not answer are zero.
func (r *runner) targetLoads(ctx context.Context) []target.Load {
	loads := make([]target.Load, len(r.plan.Targets))
	for i, address := range r.plan.Targets {
		loads[i] = r.targetLoad(ctx, address)
	}
	return loads
}

func (r *runner) targetLoad(ctx context.Context, address string) target.Load {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	load := target.Load{Name: address}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return load
	}
	response, err := r.client.Do(request)
	if err != nil {
		return load
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&load)
	return load
}

// Print writes the report as text with tab-separated columns.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintln(w, "TEAM\tSERVICE\tSENT\tANSWERED\tP50\tP99\tP999\tMAX\tWITHIN-RATE\tWRONGFUL\tREFUSALS\tFAILURES")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%v\t%v\t%d\t%d\t%s\t%s\n", g.Team, g.Service, g.Sent, g.Answered.Count,
			round(g.Answered.P50), round(g.Answered.P99), round(g.Answered.P999), round(g.Answered.Max),
			g.WithinRate, g.WrongfulRefusals, formatCounts(g.Refusals), formatCounts(g.Failures))
	}
	_, _ = fmt.Fprintf(w, "\nworst-served team: %s, answered %.2f%% of what its rate permits\n", r.WorstTeam, r.WorstFraction*100)
	for _, e := range r.Events {
		_, _ = fmt.Fprintf(w, "at %v: %s %s\n", e.At.Round(time.Millisecond), e.Description, e.Error)
	}
	for _, t := range r.Targets {
		note := ""
		if t.ExceededSlots() {
			note = ": MORE THAN ITS SLOTS"
		}
		_, _ = fmt.Fprintf(w, "target %s served %d, peak %d of %d slots, shed %d%s\n", t.Name, t.Served, t.Peak, t.Slots, t.Shed, note)
	}
}

func formatCounts(byReason map[string]int) string {
	if len(byReason) == 0 {
		return "-"
	}
	text := ""
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", reason, byReason[reason])
	}
	return text
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
