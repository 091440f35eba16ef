package reverseproxy

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"cardamomward/io/upstreamclient"
)

// errNotContinued ends an attempt whose response is no continuation of the stream that the caller receives.
var errNotContinued = errors.New("the response does not continue the stream")

// isStream reports whether the response is a successful event stream. An error is none, whatever its type.
func (sent *sentRequest) isStream() bool {
	isSuccess := sent.Status >= http.StatusOK && sent.Status < http.StatusMultipleChoices && sent.Status != http.StatusNoContent
	mediaType, _, _ := strings.Cut(sent.Header.Get("Content-Type"), ";")

	return isSuccess && strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// continuation decides whether the events of an attempt may follow those that the caller has received; its zero value is the first
// attempt, whose events all may.
type continuation struct {
	isResumed bool
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	// hasPlace is set once the attempt has had an event whose id shows its place in the stream.
	hasPlace bool
}

// mayFollow reports whether the next event of the attempt may be part of the stream: until one has a place, only comments may.
func (c *continuation) mayFollow(event upstreamclient.Event) bool {
	if !c.isResumed || c.hasPlace || c.lastEventID == "" {
		return true
	}
	if event.IsComment() {
		return bytes.HasPrefix(event.Raw, []byte(":")) || len(bytes.TrimSpace(event.Raw)) == 0
	}
	_, lastErr := strconv.ParseInt(c.lastEventID, 10, 64)
	_, err := strconv.ParseInt(event.ID, 10, 64)
	c.hasPlace = event.ID != "" && (lastErr != nil || err == nil)

	return c.hasPlace
}

// isAfterEvent reports whether an event comes after the last one that was forwarded; it is true if an id is
// empty or not a number.
func isAfterEvent(eventID, lastEventID string) bool {
	if lastEventID == "" || eventID == "" {
		return true
	}
	a, errA := strconv.ParseInt(eventID, 10, 64)
	b, errB := strconv.ParseInt(lastEventID, 10, 64)

	return errA != nil || errB != nil || a > b
}
