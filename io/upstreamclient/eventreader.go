package upstreamclient

import (
	"bufio"
	"bytes"
	"io"
)

const (
	// eventBufferBytes is the size of the read buffer for events.
	eventBufferBytes = 4096
	// maxEventBytes bounds the size of one event, and largeEventBytes is the size from which the memory for one is reserved.
	maxEventBytes   = 1 << 20
	largeEventBytes = 64 << 10
)

// byteOrderMark may start a stream and belongs to no field.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one server-sent event.
type Event struct {
	// Raw is the event's unmodified bytes, including the empty line that ends it.
	Raw []byte
	// ID is the value of the event's last id field.
	ID string
	// Data is the values of the event's data fields, joined by line feeds; nil if it has none, unlike an event with empty data.
	Data []byte
}

// IsComment reports whether the event has neither an id nor data, as comments that keep a connection open.
func (e Event) IsComment() bool { return e.ID == "" && e.Data == nil }

// EventMemory accounts for the buffers of large events.
type EventMemory interface {
	// Reserve is called before a buffer is allocated, and reports false if it does not fit.
	Reserve(bytes int64) bool
	// Release gives bytes back that were reserved.
	Release(bytes int64)
}

// EventReader splits a response body into complete server-sent events. A line ends with a line feed, a carriage return, or both.
type EventReader struct {
	// Memory accounts for large events; nil means that any number of them fits.
	Memory EventMemory

	r *bufio.Reader
	// held are the bytes that are reserved for the present event.
	held int64
	// raw is the buffer of the last event, if that was small; an upstream may send small events without end.
	raw []byte
	// hasBegun is set once the first line was read.
	hasBegun bool
	// isAfterReturn is set while a line feed that follows belongs to the carriage return before it.
	isAfterReturn bool
}

// NewEventReader returns a reader of the events of a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// Next returns the next complete event, which is valid until the next call. It returns io.EOF if the stream ends between events, io.ErrUnexpectedEOF or
// the reader's error if it ends within an event, and ErrResponseLost if an event is too large or does not fit into memory.
func (e *EventReader) Next() (Event, error) {
	e.Close()
	event := Event{Raw: e.raw[:0]}
	defer func() { e.keepBuffer(event.Raw) }()
	for {
		line, err := e.readLine(&event)
		switch {
		case err == io.EOF && string(event.Raw) == "\n": //nolint:errorlint // bufio returns io.EOF itself
			// The line feed ends the empty line of the event before.
			return event, nil
		case err == io.EOF && len(event.Raw) > 0: //nolint:errorlint // bufio returns io.EOF itself
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case len(line) == 0:
			return event, nil
		}
		event.parseField(line)
	}
}

// Close gives back the memory of the last event.
func (e *EventReader) Close() { e.setHeld(0) }

// keepBuffer keeps the buffer of an event for the next one.
func (e *EventReader) keepBuffer(buffer []byte) {
	if cap(buffer) > largeEventBytes {
		buffer = nil
	}
	e.raw = buffer
}

// setHeld changes what is reserved, and reports false if that does not fit.
func (e *EventReader) setHeld(bytes int64) bool {
	switch {
	case e.Memory == nil || bytes == e.held:
		return true
	case bytes < e.held:
		e.Memory.Release(e.held - bytes)
	case !e.Memory.Reserve(bytes - e.held):
		return false
	}
	e.held = bytes

	return true
}

// grow makes room for further bytes of an event, and reports false if there is none. The buffer doubles when it is full.
func (e *EventReader) grow(event *Event, bytes int) bool {
	needed := len(event.Raw) + bytes
	if needed <= cap(event.Raw) {
		return true
	}
	old, grown := cap(event.Raw), max(needed, 2*cap(event.Raw))
	if grown > largeEventBytes && !e.setHeld(int64(old+grown)) {
		return false
	}
	event.Raw = append(make([]byte, 0, grown), event.Raw...)

	return grown <= largeEventBytes || e.setHeld(int64(grown))
}

// readLine appends the next line to the event's raw bytes, and returns it without its end. It does not wait for what follows a carriage
// return, since the event may be complete.
func (e *EventReader) readLine(event *Event) (line []byte, err error) {
	if err := e.skipLineFeed(event); err != nil {
		return nil, err
	}
	for start := len(event.Raw); ; {
		if _, err := e.r.Peek(1); err != nil {
			return nil, err
		}
		buffered, _ := e.r.Peek(e.r.Buffered())
		length := bytes.IndexAny(buffered, "\r\n")
		isWhole := length >= 0
		if !isWhole {
			length = len(buffered)
		}
		// The line's end may add two bytes.
		if !e.grow(event, length+len("\r\n")) {
			return nil, ErrResponseLost.New("an event of more than %d bytes does not fit into memory", len(event.Raw))
		}
		event.Raw = append(event.Raw, buffered[:length]...)
		end := len(event.Raw)
		if isWhole {
			terminator := lineEnd(buffered[length:])
			e.isAfterReturn = string(terminator) == "\r" && length+1 == len(buffered)
			event.Raw = append(event.Raw, terminator...)
			length += len(terminator)
		}
		e.r.Discard(length) //nolint:errcheck // these bytes are available
		if len(event.Raw) > maxEventBytes {
			return nil, errEventTooLarge()
		}
		if isWhole {
			return e.withoutByteOrderMark(event.Raw[start:end]), nil
		}
	}
}

// skipLineFeed reads the line feed that belongs to the carriage return before it.
func (e *EventReader) skipLineFeed(event *Event) error {
	if !e.isAfterReturn {
		return nil
	}
	next, err := e.r.Peek(1)
	if err != nil {
		return err
	}
	e.isAfterReturn = false
	if next[0] == '\n' {
		event.Raw = append(event.Raw, '\n')
		e.r.Discard(1) //nolint:errcheck // the byte is available
	}

	return nil
}

// lineEnd returns the end of a line that begins the data.
func lineEnd(data []byte) []byte {
	if bytes.HasPrefix(data, []byte("\r\n")) {
		return data[:2]
	}

	return data[:1]
}

// withoutByteOrderMark returns a line without the byte order mark that may begin the first one.
func (e *EventReader) withoutByteOrderMark(line []byte) []byte {
	if !e.hasBegun {
		e.hasBegun = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}

	return line
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
		if !bytes.ContainsRune(value, 0) {
			e.ID = string(value)
		}
	case "data":
		if e.Data == nil {
			e.Data = make([]byte, 0, len(value))
		} else {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
