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

// eventNumbers tells whether the ids of a stream's events have been consecutive numbers; its zero value has seen none.
type eventNumbers struct {
	last    int64
	hasLast bool
	// areConsecutive is set once two events have had consecutive numbers, and areOther once two have not.
	areConsecutive, areOther bool
}

// record adds the id of an event that the caller has received.
func (n *eventNumbers) record(eventID string) {
	number, err := strconv.ParseInt(eventID, 10, 64)
	isNext := err == nil && number == n.last+1
	n.areConsecutive = n.areConsecutive || n.hasLast && isNext
	n.areOther = n.areOther || err != nil || n.hasLast && !isNext
	n.last, n.hasLast = number, true
}

// mayFollow reports whether the event with an id may be the next one: as far as the numbers tell, none is missing between them.
func (n *eventNumbers) mayFollow(eventID string) bool {
	number, err := strconv.ParseInt(eventID, 10, 64)

	return !n.areConsecutive || n.areOther || err != nil || number <= n.last+1
}

// continuation decides whether the events of an attempt may follow those that the caller has received; its zero value is the first
// attempt, whose events all may.
type continuation struct {
	isResumed bool
	// lastEventID is the id of the last event that the caller has received, and numbers are those of all.
	lastEventID string
	numbers     eventNumbers
	// hasContinued is set once the attempt has had an event that the caller has not received.
	hasContinued bool
}

// mayFollow reports whether the next event of the attempt may be part of the stream. Before the first new event, only comments and events
// that the caller has received may come.
func (c *continuation) mayFollow(event upstreamclient.Event) bool {
	switch {
	case !c.isResumed || c.lastEventID == "" || c.hasContinued:
		return true
	case event.IsComment():
		return bytes.HasPrefix(event.Raw, []byte(":")) || len(bytes.TrimSpace(event.Raw)) == 0
	case !isComparable(event.ID, c.lastEventID):
		return false
	}
	c.hasContinued = isAfterEvent(event.ID, c.lastEventID)

	return c.numbers.mayFollow(event.ID)
}

// isComparable reports whether the id of an event shows its place after another one; ids that are not numbers are not compared.
func isComparable(eventID, lastEventID string) bool {
	_, errLast := strconv.ParseInt(lastEventID, 10, 64)
	_, err := strconv.ParseInt(eventID, 10, 64)

	return eventID != "" && (errLast != nil || err == nil)
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
