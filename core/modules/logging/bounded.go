package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the number of lines that wait for a slow reader.
	boundedLines = 2048
	// boundedRate is the number of lines a second that are written, bursts of as many included.
	boundedRate = 1000
	// droppedInterval is the least time between two lines that tell how many were dropped.
	droppedInterval = time.Second
)

// Bounded is a writer for log lines that never blocks: it drops lines that come too fast or that a slow reader does not
// take, and says so in a line of its own.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBounded returns a writer that passes lines on to w from a goroutine of its own.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines)}
	go b.run(w)
	return b
}

// Write implements io.Writer for one line; it always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines so far are written, at most for a short time.
func (b *Bounded) Sync() error {
	const attempts, pause = 20, 5 * time.Millisecond
	for range attempts {
		if len(b.lines) == 0 {
			return nil
		}
		time.Sleep(pause)
	}
	return nil
}

func (b *Bounded) run(w io.Writer) {
	tokens, filled, told := float64(boundedRate), time.Now(), time.Now()
	for line := range b.lines {
		now := time.Now()
		tokens = min(boundedRate, tokens+boundedRate*now.Sub(filled).Seconds())
		filled = now
		if tokens < 1 {
			b.dropped.Add(1)
			continue
		}
		tokens--
		// There is nobody left to tell if the log cannot be written.
		_, _ = w.Write(line)
		if now.Sub(told) < droppedInterval {
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			told = now
			_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}
