package upstreamclient

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// eventBufferBytes is the size of the read buffer for events.
	eventBufferBytes = 4096
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// Event is one server-sent event.
type Event struct {
	// Raw is the event's unmodified bytes, including the empty line that ends it.
	Raw []byte
	// ID and Data are the values of the event's id and data fields.
	ID   string
	Data []byte
}

// IsComment reports whether the event has neither an id nor data, as comments that keep a connection open.
func (e Event) IsComment() bool { return e.ID == "" && e.Data == nil }

// EventReader splits a response body into complete server-sent events.
type EventReader struct{ r *bufio.Reader }

// NewEventReader returns a reader of the events of a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF if the stream ends between events, io.ErrUnexpectedEOF or
// the reader's error if it ends within an event, and ErrResponseLost if an event is too large.
func (e *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := e.readLine()
		if err != nil {
			if err == io.EOF && len(event.Raw)+len(line) > 0 { //nolint:errorlint // bufio returns io.EOF itself
				err = io.ErrUnexpectedEOF
			}

			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > maxEventBytes {
			return Event{}, errEventTooLarge()
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event, nil
		}
		event.parseField(content)
	}
}

// readLine returns the next line, or an error once it is longer than an event may be.
func (e *EventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err != bufio.ErrBufferFull { //nolint:errorlint // bufio returns it itself
		return line, err
	}
	var long []byte
	for err == bufio.ErrBufferFull { //nolint:errorlint // bufio returns it itself
		if long = append(long, line...); len(long) > maxEventBytes {
			return nil, errEventTooLarge()
		}
		line, err = e.r.ReadSlice('\n')
	}

	return append(long, line...), err
}

func errEventTooLarge() error {
	return ErrResponseLost.New("an event is larger than %d bytes", maxEventBytes)
}

// parseField stores the value of one field line.
func (e *Event) parseField(line []byte) {
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
