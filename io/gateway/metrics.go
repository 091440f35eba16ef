package gateway

import (
	"expvar"
	"fmt"
	"io"
	"strings"
	"time"
)

// bounds are the upper ends of the latency histogram's buckets.
var bounds = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Metrics counts requests by their outcome and by how long they took; its zero value is empty, a nil one counts nothing.
type Metrics struct {
	outcomes expvar.Map
	latency  expvar.Map
	sends    expvar.Map
}

func (m *Metrics) observe(outcome string, took time.Duration) {
	if m == nil {
		return
	}
	m.outcomes.Add(outcome, 1)
	for _, bound := range bounds {
		if took <= bound {
			m.latency.Add(bound.String(), 1)

			return
		}
	}
	m.latency.Add("more", 1)
}

func (m *Metrics) sent(outcome string) {
	if m != nil {
		m.sends.Add(outcome, 1)
	}
}

// Write writes all counters as text, one a line.
func (m *Metrics) Write(w io.Writer) error {
	var text strings.Builder
	for _, group := range []struct {
		name   string
		counts *expvar.Map
	}{{"requests", &m.outcomes}, {"latency", &m.latency}, {"sends", &m.sends}} {
		group.counts.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(&text, "%s{%q} %s\n", group.name, kv.Key, kv.Value)
		})
	}
	_, err := io.WriteString(w, text.String())

	return err
}
