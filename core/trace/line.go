package trace

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a host's log.
type Line struct {
	// Source names the file that it is from.
	Source string
	Time   time.Time
	Event  string
	Fields map[string]string
	// Text is the line as it was written.
	Text string
}

// Parse reads a line of key=value pairs; false tells that it is no event. What precedes the time is passed over.
func Parse(source, text string) (Line, bool) {
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
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil || line.Fields["event"] == "" {
		return Line{}, false
	}
	line.Time, line.Event = at, line.Fields["event"]

	return line, true
}

// cutValue returns the value at the beginning of a text, without its quotes, and what follows it.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if plain, err := strconv.Unquote(quoted); err == nil {
			return plain, strings.TrimPrefix(text[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(text, " ")

	return value, rest
}
