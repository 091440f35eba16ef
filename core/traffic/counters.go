package traffic

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"cardamomward/core/id"
)

// Cause is why bytes are sent or received.
type Cause int

// Values of Cause.
const (
	// Caller is the traffic with callers.
	Caller Cause = iota
	// Owner is the traffic with the owners of slots: turns, rates, limits and origins of streams.
	Owner
	// Upstream is the traffic on direct connections to upstreams.
	Upstream
	// Relay is the traffic that another host relays for this one, or this one for others.
	Relay
	// Copies is the traffic of copies of turns and of their recall.
	Copies
	// Heartbeat is the traffic of datagrams between hosts.
	Heartbeat
	causeCount
)

var causeNames = [causeCount]string{"caller", "owner", "upstream", "relay", "copies", "heartbeat"}

// Crossing relates the failure domains of the two ends of a connection.
type Crossing int

// Values of Crossing.
const (
	// Unknown means that the failure domain of an end is not known, as that of callers.
	Unknown Crossing = iota
	// Within means that both ends are in one failure domain.
	Within
	// Across means that the ends are in two failure domains.
	Across
	crossingCount
)

var crossingNames = [crossingCount]string{"unknown", "within", "across"}

// CrossingBetween compares the failure domains of two ends; an empty one is unknown.
func CrossingBetween(a, b id.FailureDomain) Crossing {
	switch {
	case a == "" || b == "":
		return Unknown
	case a == b:
		return Within
	default:
		return Across
	}
}

// Counter counts the bytes of one cause and crossing; a nil *Counter counts nothing.
type Counter struct {
	sent, received atomic.Int64
}

// AddSent counts sent bytes.
func (c *Counter) AddSent(bytes int) {
	if c != nil && bytes > 0 {
		c.sent.Add(int64(bytes))
	}
}

// AddReceived counts received bytes.
func (c *Counter) AddReceived(bytes int) {
	if c != nil && bytes > 0 {
		c.received.Add(int64(bytes))
	}
}

// Sent returns the number of sent bytes.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of received bytes.
func (c *Counter) Received() int64 { return c.received.Load() }

// Counters holds a counter for each cause and crossing. Its zero value is ready to use; a nil *Counters counts nothing.
type Counters struct {
	counters [causeCount][crossingCount]Counter
}

// Get returns the counter of a cause and crossing.
func (c *Counters) Get(cause Cause, crossing Crossing) *Counter {
	if c == nil {
		return nil
	}

	return &c.counters[cause][crossing]
}

// WriteText writes the counters that are not zero as text, one per line.
func (c *Counters) WriteText(w io.Writer) error {
	var text strings.Builder
	for _, direction := range []struct {
		name  string
		bytes func(*Counter) int64
	}{{"bytes-sent", (*Counter).Sent}, {"bytes-received", (*Counter).Received}} {
		for cause := range c.counters {
			for crossing := range c.counters[cause] {
				if bytes := direction.bytes(&c.counters[cause][crossing]); bytes > 0 {
					fmt.Fprintf(&text, "%s{%q} %d\n", direction.name, causeNames[cause]+"-"+crossingNames[crossing], bytes)
				}
			}
		}
	}
	_, err := io.WriteString(w, text.String())

	return err
}
