package upstream

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// eventBuffer is the size of the buffer that an event is read with, in bytes.
	eventBuffer = 4096
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// Event is one event of a stream.
type Event struct {
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
	// ID and Data are the values of its fields.
	ID   string
	Data []byte
}

// EventReader splits a body into whole events.
type EventReader struct{ r *bufio.Reader }

// NewEventReader reads events from a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, eventBuffer)}
}

// Next returns the next whole event. It returns io.EOF where the stream ends between events, and
// io.ErrUnexpectedEOF or the reader's error where it breaks off.
func (e *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := e.line()
		if err != nil {
			if err == io.EOF && len(event.Raw)+len(line) > 0 { //nolint:errorlint // bufio returns io.EOF itself
				err = io.ErrUnexpectedEOF
			}

			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > maxEvent {
			return Event{}, ErrLost.New("an event is larger than %d bytes", maxEvent)
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event, nil
		}
		event.field(content)
	}
}

func (e *EventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if err != bufio.ErrBufferFull { //nolint:errorlint // bufio returns it itself
		return line, err
	}
	long := bytes.Clone(line)
	rest, err := e.r.ReadBytes('\n')

	return append(long, rest...), err
}

// field takes the value of one line.
func (e *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
