package logfmt

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are queued for writing.
	maxQueuedLines = 4096
	// flushInterval is how often queued lines are written, in one batch.
	flushInterval = 50 * time.Millisecond
	// dropReportInterval is the shortest time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter is a writer that never blocks: it queues lines, and drops and counts those that exceed the queue.
type AsyncWriter struct {
	out          io.Writer
	lines        chan []byte
	droppedLines atomic.Int64
	running      sync.WaitGroup
	stop         chan struct{}
}

// NewAsyncWriter returns a writer that writes to out in the background until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	b.running.Go(b.run)

	return b
}

// Write queues a copy of line, or drops it if the queue is full; it never returns an error.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.droppedLines.Add(1)
	}

	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (b *AsyncWriter) DroppedLines() int64 { return b.droppedLines.Load() }

// Close writes the queued lines and stops the writer.
func (b *AsyncWriter) Close() error {
	close(b.stop)
	b.running.Wait()

	return nil
}

func (b *AsyncWriter) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reportedLines int64
	var reportedAt time.Time
	for {
		stopping := false
		select {
		case <-b.stop:
			stopping = true
		case <-ticker.C:
		}
		batch := b.drainQueue()
		if dropped := b.droppedLines.Load(); dropped > reportedLines && time.Since(reportedAt) >= dropReportInterval {
			batch = fmt.Appendf(batch, "level=error event=lines-dropped lines=%d\n", dropped-reportedLines)
			reportedLines, reportedAt = dropped, time.Now()
		}
		if len(batch) > 0 {
			b.out.Write(batch) //nolint:errcheck // there is nowhere to report it
		}
		if stopping {
			return
		}
	}
}

func (b *AsyncWriter) drainQueue() []byte {
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
