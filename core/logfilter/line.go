package logfilter

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a host's log.
type Line struct {
	// Source is the name of the log file without its extension, usually the host's name.
	Source string
	Time   time.Time
	Event  string
	// Fields holds the unquoted value of each key, including time and event.
	Fields map[string]string
	// Text is the unparsed line from its time field on.
	Text string
}

// ParseLine parses a line of key=value pairs and ignores any prefix before the time field. It returns false if the line
// has no valid time or no event.
func ParseLine(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Source: source, Text: text[start:], Fields: make(map[string]string)}
	for rest := line.Text; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		value, rest = cutValue(after)
		line.Fields[strings.TrimSpace(key)] = value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil || line.Fields["event"] == "" {
		return Line{}, false
	}
	line.Time, line.Event = timestamp, line.Fields["event"]

	return line, true
}

// cutValue splits text after its first value, which may be quoted, and returns the unquoted value and the rest.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if plain, err := strconv.Unquote(quoted); err == nil {
			return plain, strings.TrimPrefix(text[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(text, " ")

	return value, rest
}
