package logfilter

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cardamomward/core/id"
)

// correlationWindow extends the time range of a request at both ends: events that affect it can be logged shortly before
// it starts or after it ends.
const correlationWindow = 2 * time.Second

// hostWideEvents are the log events that concern every request on the host that logs them.
var hostWideEvents = map[string]bool{
	"started": true, "draining": true, "stopped": true, "store-lost": true, "store-regained": true, "store-way": true,
	"owner-evicted": true, "lines-dropped": true, "upstreams-partitioned": true,
}

// requestScope holds the values by which lines related to a request are found, collected from the request's own lines.
type requestScope struct {
	request       string
	slot          string
	upstreams     map[string]bool
	hosts         map[string]bool
	configVersion string
	from, to      time.Time
}

// SelectByRequest returns a request's own lines and the lines about its slot, upstreams, hosts and configuration from
// around that time, sorted by time. It returns nil if no line names the request.
func SelectByRequest(lines []Line, request string) []Line {
	s, found := newRequestScope(lines, request)
	if !found {
		return nil
	}
	var selected []Line
	for _, line := range lines {
		if s.includes(line) {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return selected
}

func newRequestScope(lines []Line, request string) (*requestScope, bool) {
	s := &requestScope{request: request, upstreams: make(map[string]bool), hosts: make(map[string]bool)}
	program, slotCount := "", 0
	for _, line := range lines {
		// The owners event lists the owner of each slot, so its length is the number of slots.
		if line.Event == "owners" {
			slotCount = max(slotCount, len(strings.Fields(line.Fields["owners"])))
		}
		if line.Fields["request"] != request {
			continue
		}
		s.hosts[line.Source] = true
		s.extendTimeRange(line)
		if line.Event == "request" {
			program, s.configVersion = line.Fields["program"], line.Fields["config"]
		}
		for _, upstream := range strings.Fields(strings.Trim(line.Fields["upstreams"], "[]")) {
			s.upstreams[upstream] = true
		}
	}
	if len(s.hosts) == 0 {
		return nil, false
	}
	if program != "" && slotCount > 0 {
		s.slot = strconv.Itoa(id.HashSlot(program, slotCount))
	}
	s.from, s.to = s.from.Add(-correlationWindow), s.to.Add(correlationWindow)

	return s, true
}

// extendTimeRange extends the time range by a line's time and, if the line has a duration, its start.
func (s *requestScope) extendTimeRange(line Line) {
	start := line.Time
	if took, err := time.ParseDuration(line.Fields["took"]); err == nil {
		start = start.Add(-took)
	}
	if s.from.IsZero() || start.Before(s.from) {
		s.from = start
	}
	if line.Time.After(s.to) {
		s.to = line.Time
	}
}

// includes reports whether a line belongs to the request or is related to it.
func (s *requestScope) includes(line Line) bool {
	switch {
	case line.Fields["request"] == s.request:
		return true
	case line.Fields["request"] != "":
		return false
	case line.Event == "configuration":
		return s.hosts[line.Source] && line.Fields["version"] == s.configVersion
	case line.Time.Before(s.from) || line.Time.After(s.to):
		return false
	case line.Fields["slot"] != "":
		return line.Fields["slot"] == s.slot
	}
	processUpstream, _, _ := strings.Cut(line.Fields["process"], "/")

	return s.upstreams[line.Fields["upstream"]] || s.upstreams[processUpstream] || (s.hosts[line.Source] && hostWideEvents[line.Event])
}
