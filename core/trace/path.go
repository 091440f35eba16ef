package trace

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cardamomward/core/id"
)

// around is how long before its beginning and after its end what happened elsewhere may bear on a request.
const around = 2 * time.Second

// hostEvents bear on every request of the host that writes them.
var hostEvents = map[string]bool{
	"started": true, "draining": true, "stopped": true, "store-lost": true, "store-regained": true, "store-way": true,
	"owner-evicted": true, "lines-dropped": true,
}

// subject is what the lines of a request name.
type subject struct {
	request   string
	slot      string
	upstreams map[string]bool
	hosts     map[string]bool
	config    string
	from, to  time.Time
}

// Path returns the lines that bear on a request, the earliest first: its own, and those of its slot, its upstreams, its
// hosts and its configuration around that time. It is empty where no line names the request.
func Path(lines []Line, request string) []Line {
	s, found := newSubject(lines, request)
	if !found {
		return nil
	}
	var path []Line
	for _, line := range lines {
		if s.names(line) {
			path = append(path, line)
		}
	}
	slices.SortStableFunc(path, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return path
}

func newSubject(lines []Line, request string) (*subject, bool) {
	s := &subject{request: request, upstreams: make(map[string]bool), hosts: make(map[string]bool)}
	program, slots := "", 0
	for _, line := range lines {
		if line.Event == "owners" {
			slots = max(slots, len(strings.Fields(line.Fields["owners"])))
		}
		if line.Fields["request"] != request {
			continue
		}
		s.hosts[line.Source] = true
		s.extend(line)
		if line.Event == "request" {
			program, s.config = line.Fields["program"], line.Fields["config"]
		}
		for _, upstream := range strings.Fields(strings.Trim(line.Fields["upstreams"], "[]")) {
			s.upstreams[upstream] = true
		}
	}
	if len(s.hosts) == 0 {
		return nil, false
	}
	if program != "" && slots > 0 {
		s.slot = strconv.Itoa(id.HashSlot(program, slots))
	}
	s.from, s.to = s.from.Add(-around), s.to.Add(around)

	return s, true
}

// extend widens the request's time to that of one of its lines.
func (s *subject) extend(line Line) {
	began := line.Time
	if took, err := time.ParseDuration(line.Fields["took"]); err == nil {
		began = began.Add(-took)
	}
	if s.from.IsZero() || began.Before(s.from) {
		s.from = began
	}
	if line.Time.After(s.to) {
		s.to = line.Time
	}
}

func (s *subject) names(line Line) bool {
	switch {
	case line.Fields["request"] == s.request:
		return true
	case line.Fields["request"] != "":
		return false
	case line.Event == "configuration":
		return s.hosts[line.Source] && line.Fields["version"] == s.config
	case line.Time.Before(s.from) || line.Time.After(s.to):
		return false
	case line.Fields["slot"] != "":
		return line.Fields["slot"] == s.slot
	}
	process, _, _ := strings.Cut(line.Fields["process"], "/")

	return s.upstreams[line.Fields["upstream"]] || s.upstreams[process] || (s.hosts[line.Source] && hostEvents[line.Event])
}
