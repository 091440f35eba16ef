package logfmt

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Sink is a logr.LogSink that writes one line per event.
type Sink struct {
	out       *lockedWriter
	now       func() time.Time
	verbosity int
	name      string
	values    string
}

// lockedWriter is an output that several sinks share.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

var _ logr.LogSink = (*Sink)(nil)

// New returns a logger that writes to out the events up to a verbosity level.
func New(out io.Writer, now func() time.Time, verbosity int) logr.Logger {
	return logr.New(&Sink{out: &lockedWriter{w: out}, now: now, verbosity: verbosity})
}

// Init does nothing, since events carry no call site.
func (s *Sink) Init(logr.RuntimeInfo) {}

// Enabled reports whether events of a verbosity level are written.
func (s *Sink) Enabled(level int) bool { return level <= s.verbosity }

// Info writes an event.
func (s *Sink) Info(level int, event string, pairs ...any) {
	levelName := "info"
	if level > 0 {
		levelName = "debug"
	}
	s.write(levelName, event, pairs)
}

// Error writes an event at level error, with err as the value of its error key.
func (s *Sink) Error(err error, event string, pairs ...any) {
	s.write("error", event, append([]any{"error", err}, pairs...))
}

// WithValues returns a sink that adds the key-value pairs to each event.
func (s *Sink) WithValues(pairs ...any) logr.LogSink {
	clone := *s
	clone.values += formatPairs(pairs)

	return &clone
}

// WithName returns a sink that adds the key from with the value name to each event.
func (s *Sink) WithName(name string) logr.LogSink {
	clone := *s
	clone.name = name

	return &clone
}

// write writes one line with the time, the level, the event, the sink's name and values, and the pairs.
func (s *Sink) write(level, event string, pairs []any) {
	var line strings.Builder
	line.WriteString("time=" + s.now().UTC().Format("2006-01-02T15:04:05.000Z"))
	line.WriteString(" level=" + level + " event=" + quoteIfNeeded(event))
	if s.name != "" {
		line.WriteString(" from=" + quoteIfNeeded(s.name))
	}
	line.WriteString(s.values)
	line.WriteString(formatPairs(pairs))
	line.WriteByte('\n')
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	io.WriteString(s.out.w, line.String()) //nolint:errcheck // there is nowhere to report it
}

func formatPairs(pairs []any) string {
	var out strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&out, " %v=%s", pairs[i], quoteIfNeeded(fmt.Sprint(pairs[i+1])))
	}

	return out.String()
}

// quoteIfNeeded quotes a value that is empty or contains characters that end a value.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=\n\r\t") {
		return strconv.Quote(value)
	}

	return value
}
