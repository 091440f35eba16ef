package inbound

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// HeaderField is one header field that is forwarded unchanged.
type HeaderField struct {
	Name  string
	Value string
}

// PromptPart is the name and length of a part of a prompt, which other requests may have too.
type PromptPart struct {
	ID     string
	Tokens id.Tokens
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path with its query, unchanged.
	Target string
	// Host is the value of the Host header field.
	Host string
	Path string
	// APIKey is the caller's secret; it is never forwarded.
	APIKey string
	// Timeout is how long the caller waits; zero if the caller sets none.
	Timeout     time.Duration
	AffinityKey string
	// LastEventID is the id of the last event that the caller received of an interrupted stream; empty if it resumes none.
	LastEventID string
	// ResumedAttempt is the request id of the attempt that brought the first event of the interrupted stream; empty if the
	// caller names none.
	ResumedAttempt string

	Program   id.Program
	SessionID string
	// ProgramTimeLeft is the time until the program should end; zero if the caller sets none.
	ProgramTimeLeft time.Duration
	// TokenBudget limits the tokens of the whole program; zero if none is set.
	TokenBudget  id.Tokens
	PromptTokens id.Tokens
	MaxTokens    id.Tokens
	PromptParts  []PromptPart
	// LengthHint is the caller's estimate of the output tokens; zero if the caller gives none that is a positive number.
	LengthHint float64
	// PreviousTurn is the id of the turn that this one continues; empty if there is none.
	PreviousTurn string

	HeaderFields []HeaderField
	Body         []byte
}

// Fingerprint returns a hash of the method, target, API key and body, which does not depend on the request id.
func (r *Request) Fingerprint() id.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Target, r.APIKey} {
		h.WriteString(part)     //nolint:errcheck // a hash never fails
		h.Write([]byte("\x00")) //nolint:errcheck // a hash never fails
	}
	h.Write(r.Body) //nolint:errcheck // a hash never fails

	return id.Fingerprint(h.Sum64())
}

// ResolveAffinityKey returns the key that related requests share: the session id, else the caller's affinity key, else
// the request id.
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
