package inbound

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// HeaderField is one header field that is passed on as it came.
type HeaderField struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
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
	// APIKey is the caller's secret; it is never passed on.
	APIKey string
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout     time.Duration
	AffinityKey string
	// LastEventID is the last event of a broken stream that the caller has.
	LastEventID string

	Program   id.Program
	SessionID string
	// ProgramTimeLeft is the time until the program should end.
	ProgramTimeLeft time.Duration
	// TokenBudget bounds the tokens of the whole program; zero where none is set.
	TokenBudget  id.Tokens
	PromptTokens id.Tokens
	MaxTokens    id.Tokens
	PromptParts  []PromptPart
	// PreviousTurn names the turn that this one continues from.
	PreviousTurn string

	HeaderFields []HeaderField
	Body         []byte
}

// Fingerprint tells requests with the same target, caller and body from others, whatever their id.
func (r *Request) Fingerprint() id.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Target, r.APIKey} {
		h.WriteString(part)     //nolint:errcheck // a hash never fails
		h.Write([]byte("\x00")) //nolint:errcheck // a hash never fails
	}
	h.Write(r.Body) //nolint:errcheck // a hash never fails

	return id.Fingerprint(h.Sum64())
}

// ResolveAffinityKey names what requests of one line of turns have in common: the session, else the affinity, else the request itself.
func (r *Request) ResolveAffinityKey() string {
	switch {
	case r.SessionID != "":
		return r.SessionID
	case r.AffinityKey != "":
		return r.AffinityKey
	default:
		return r.ID
	}
}
