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
	// flushInterval is the interval of writes of queued lines, in one batch.
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
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	w.running.Go(w.run)

	return w
}

// Write queues a copy of line, or drops it if the queue is full; it never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.droppedLines.Add(1)
	}

	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (w *AsyncWriter) DroppedLines() int64 { return w.droppedLines.Load() }

// Close writes the queued lines and stops the writer.
func (w *AsyncWriter) Close() error {
	close(w.stop)
	w.running.Wait()

	return nil
}

// run writes the queued lines every flushInterval until Close is called, and reports dropped lines as an event.
func (w *AsyncWriter) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reportedLines int64
	var reportedAt time.Time
	for {
		stopping := false
		select {
		case <-w.stop:
			stopping = true
		case <-ticker.C:
		}
		batch := w.drainQueue()
		if dropped := w.droppedLines.Load(); dropped > reportedLines && time.Since(reportedAt) >= dropReportInterval {
			batch = fmt.Appendf(batch, "level=error event=lines-dropped lines=%d\n", dropped-reportedLines)
			reportedLines, reportedAt = dropped, time.Now()
		}
		if len(batch) > 0 {
			w.out.Write(batch) //nolint:errcheck // there is nowhere to report it
		}
		if stopping {
			return
		}
	}
}

// drainQueue returns the queued lines as one batch without waiting.
func (w *AsyncWriter) drainQueue() []byte {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
