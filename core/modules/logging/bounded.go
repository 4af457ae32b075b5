package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the number of lines that are buffered for a slow reader.
	maxBufferedLines = 2048
	// maxLinesPerSecond is the rate limit of written lines, and also the largest burst.
	maxLinesPerSecond = 1000
	// dropReportInterval is the shortest time between two reports of the number of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter is a writer for log lines that never blocks: it drops lines that exceed the rate limit or that do not fit
// into the buffer for a slow reader, and reports the number of dropped lines in a log line.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer that writes lines to w from a goroutine of its own.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxBufferedLines)}
	go b.run(w)
	return b
}

// Write implements io.Writer for one line; it reports success for a dropped line too.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until no line is buffered, for at most 100 ms.
func (b *BoundedWriter) Sync() error {
	const attempts, pause = 20, 5 * time.Millisecond
	for range attempts {
		if len(b.lines) == 0 {
			return nil
		}
		time.Sleep(pause)
	}
	return nil
}

func (b *BoundedWriter) run(w io.Writer) {
	tokens, refilled, reported := float64(maxLinesPerSecond), time.Now(), time.Now()
	for line := range b.lines {
		now := time.Now()
		tokens = min(maxLinesPerSecond, tokens+maxLinesPerSecond*now.Sub(refilled).Seconds())
		refilled = now
		if tokens < 1 {
			b.dropped.Add(1)
			continue
		}
		tokens--
		// An error is ignored because there is no other place to report that the log cannot be written.
		_, _ = w.Write(line)
		if now.Sub(reported) < dropReportInterval {
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			reported = now
			_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}
