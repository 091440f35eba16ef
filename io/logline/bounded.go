package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// writeInterval is how often waiting lines are written, many at a time.
	writeInterval = 50 * time.Millisecond
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Bounded is a writer that never blocks: lines that find its queue full are dropped and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	stop    chan struct{}
}

// NewBounded starts a writer to out; Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{})}
	b.done.Go(b.run)

	return b
}

// Write queues a line.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends the writer.
func (b *Bounded) Close() error {
	close(b.stop)
	b.done.Wait()

	return nil
}

func (b *Bounded) run() {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	var reported int64
	var reportedAt time.Time
	for {
		stopping := false
		select {
		case <-b.stop:
			stopping = true
		case <-ticker.C:
		}
		batch := b.take()
		if dropped := b.dropped.Load(); dropped > reported && time.Since(reportedAt) >= reportInterval {
			batch = fmt.Appendf(batch, "level=error event=lines-dropped lines=%d\n", dropped-reported)
			reported, reportedAt = dropped, time.Now()
		}
		if len(batch) > 0 {
			b.out.Write(batch) //nolint:errcheck // there is nowhere to report it
		}
		if stopping {
			return
		}
	}
}

func (b *Bounded) take() []byte {
	var batch []byte
	for {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
