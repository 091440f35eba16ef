package call

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// Field is one header field that is passed on as it came.
type Field struct {
	Name  string
	Value string
}

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens id.Tokens
}

// Request is one attempt of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path with its query, unchanged.
	Target string
	Host   string
	Path   string
	// Key is the caller's secret; it is never passed on.
	Key string
	// Remaining is how long the caller waits; zero where it does not say.
	Remaining time.Duration
	Affinity  string
	// LastEvent is the last event of a broken stream that the caller has.
	LastEvent string

	Program id.Program
	Session string
	// ProgramLeft is the time until the program should end.
	ProgramLeft time.Duration
	// Budget bounds the tokens of the whole program; zero where none is set.
	Budget       id.Tokens
	PromptTokens id.Tokens
	MaxTokens    id.Tokens
	Parts        []Part
	// Previous names the turn that this one continues from.
	Previous string

	Fields []Field
	Body   []byte
}

// Fingerprint tells requests with the same target, caller and body from others, whatever their id.
func (r *Request) Fingerprint() id.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Target, r.Key} {
		h.WriteString(part)     //nolint:errcheck // a hash never fails
		h.Write([]byte("\x00")) //nolint:errcheck // a hash never fails
	}
	h.Write(r.Body) //nolint:errcheck // a hash never fails

	return id.Fingerprint(h.Sum64())
}

// Line names what requests of one line of turns have in common: the session, else the affinity, else the request itself.
func (r *Request) Line() string {
	switch {
	case r.Session != "":
		return r.Session
	case r.Affinity != "":
		return r.Affinity
	default:
		return r.ID
	}
}
