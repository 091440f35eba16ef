package reverseproxy

import (
	"expvar"
	"fmt"
	"io"
	"strings"
	"time"
)

// latencyBuckets are the upper bounds of the latency histogram's buckets.
var latencyBuckets = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Metrics counts callers' requests by outcome and by latency, and attempts to send them to upstreams by outcome, and checks of
// resumptions by decision. Its zero
// value is ready to use; a nil *Metrics counts nothing.
type Metrics struct {
	outcomes expvar.Map
	latency  expvar.Map
	sends    expvar.Map
	// resumptions counts the candidates for resumptions.
	resumptions expvar.Map
}

func (m *Metrics) observeRequest(outcome string, duration time.Duration) {
	if m == nil {
		return
	}
	m.outcomes.Add(outcome, 1)
	for _, upperBound := range latencyBuckets {
		if duration <= upperBound {
			m.latency.Add(upperBound.String(), 1)

			return
		}
	}
	m.latency.Add("more", 1)
}

func (m *Metrics) countSend(outcome string) {
	if m != nil {
		m.sends.Add(outcome, 1)
	}
}

func (m *Metrics) countResumption(decision string) {
	if m != nil {
		m.resumptions.Add(decision, 1)
	}
}

// WriteText writes all counters as text, one per line.
func (m *Metrics) WriteText(w io.Writer) error {
	var text strings.Builder
	for _, group := range []struct {
		name   string
		counts *expvar.Map
	}{{"requests", &m.outcomes}, {"latency", &m.latency}, {"sends", &m.sends}, {"resumptions", &m.resumptions}} {
		group.counts.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(&text, "%s{%q} %s\n", group.name, kv.Key, kv.Value)
		})
	}
	_, err := io.WriteString(w, text.String())

	return err
}
