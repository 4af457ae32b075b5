package load

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// Dimensions of a plot in pixels.
const (
	plotWidth  = 800
	plotHeight = 400
	plotMargin = 60
)

// minPlotLatency is the lower end of the latency axis.
const minPlotLatency = 100 * time.Microsecond

// Plot writes an SVG with the latency quantiles of each second on a logarithmic scale, and with bars for refusals and failures.
func (r Report) Plot(w io.Writer) error {
	maxLatency := 10 * minPlotLatency
	maxErrors := 1
	for _, s := range r.Seconds {
		maxLatency = max(maxLatency, s.Answered.P999)
		maxErrors = max(maxErrors, s.Refused+s.Failed)
	}
	p := plot{seconds: len(r.Seconds), maxLatency: maxLatency, maxErrors: maxErrors}
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	p.printf(`<rect width="100%%" height="100%%" fill="white"/>`)
	p.grid()
	for i, s := range r.Seconds {
		p.bar(i, s.Failed, 0, "#c0392b")
		p.bar(i, s.Refused, s.Failed, "#f0b27a")
	}
	p.line(r.Seconds, "#1f618d", func(s SecondStats) time.Duration { return s.Answered.P50 })
	p.line(r.Seconds, "#117a65", func(s SecondStats) time.Duration { return s.Answered.P99 })
	p.line(r.Seconds, "#7d3c98", func(s SecondStats) time.Duration { return s.Answered.P999 })
	p.events(r.Events)
	p.printf(`<text x="%d" y="20">latency: p50 blue, p99 green, p999 purple; refusals per second orange, failures red, at most %d</text>`, plotMargin, maxErrors)
	p.printf(`</svg>`)
	_, err := io.WriteString(w, p.text.String())
	return err
}

// plot collects the elements of an SVG.
type plot struct {
	text       strings.Builder
	seconds    int
	maxLatency time.Duration
	// maxErrors is the largest number of refusals and failures in a second.
	maxErrors int
}

func (p *plot) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(&p.text, format+"\n", arguments...)
}

func (p *plot) x(second float64) float64 {
	return plotMargin + second/float64(max(p.seconds, 1))*(plotWidth-2*plotMargin)
}

func (p *plot) y(d time.Duration) float64 {
	fraction := math.Log(float64(max(d, minPlotLatency))/float64(minPlotLatency)) / math.Log(float64(p.maxLatency)/float64(minPlotLatency))
	return plotHeight - plotMargin - fraction*(plotHeight-2*plotMargin)
}

func (p *plot) grid() {
	for d := minPlotLatency; d <= p.maxLatency; d *= 10 {
		p.printf(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, plotMargin, plotWidth-plotMargin, p.y(d), p.y(d))
		p.printf(`<text x="5" y="%.1f">%v</text>`, p.y(d), d)
	}
	for s := 0; s <= p.seconds; s += max(p.seconds/10, 1) {
		p.printf(`<text x="%.1f" y="%d">%d s</text>`, p.x(float64(s)), plotHeight-plotMargin+20, s)
	}
}

func (p *plot) bar(second, count, offset int, colour string) {
	scale := float64(plotHeight-2*plotMargin) / float64(p.maxErrors) / 2
	p.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, p.x(float64(second)),
		plotHeight-plotMargin-scale*float64(count+offset), p.x(1)-p.x(0)-1, scale*float64(count), colour)
}

func (p *plot) line(seconds []SecondStats, colour string, value func(SecondStats) time.Duration) {
	points := make([]string, 0, len(seconds))
	for i, s := range seconds {
		if s.Answered.Count > 0 {
			points = append(points, fmt.Sprintf("%.1f,%.1f", p.x(float64(i)+0.5), p.y(value(s))))
		}
	}
	p.printf(`<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, colour, strings.Join(points, " "))
}

func (p *plot) events(events []FaultEvent) {
	for i, e := range events {
		x := p.x(e.At.Seconds())
		p.printf(`<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#555" stroke-dasharray="4"/>`, x, x, plotMargin, plotHeight-plotMargin)
		p.printf(`<text x="%.1f" y="%d">%s</text>`, x+2, plotMargin+14*(i%4), escape(e.Description))
	}
}

func escape(text string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(text)
}
