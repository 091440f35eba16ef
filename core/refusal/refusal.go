package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Ran says whether a request had an effect.
type Ran string

// The three answers to whether a request ran.
const (
	NotRun  Ran = "not-run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Kind names what happened.
type Kind string

// Kinds of refusals.
const (
	Unauthenticated  Kind = "unauthenticated"
	Forbidden        Kind = "forbidden"
	InvalidRequest   Kind = "invalid-request"
	TooLarge         Kind = "too-large"
	NotFound         Kind = "not-found"
	RateLimited      Kind = "rate-limited"
	BudgetExhausted  Kind = "budget-exhausted"
	HistoryMismatch  Kind = "history-mismatch"
	TurnConflict     Kind = "turn-conflict"
	ProgramEnded     Kind = "program-ended"
	KeyReused        Kind = "idempotency-key-reused"
	OutcomeUnknown   Kind = "outcome-unknown"
	Overloaded       Kind = "overloaded"
	NoUpstream       Kind = "no-upstream"
	UpstreamFailed   Kind = "upstream-failed"
	Quarantined      Kind = "quarantined"
	LogUnavailable   Kind = "log-unavailable"
	OwnerChanged     Kind = "owner-changed"
	Leaving          Kind = "leaving"
	DeadlineExceeded Kind = "deadline-exceeded"
	Cancelled        Kind = "cancelled"
	SettingsConflict Kind = "settings-conflict"
	SettingsInvalid  Kind = "settings-invalid"
	Internal         Kind = "internal"
	MethodNotAllowed Kind = "method-not-allowed"
)

// Error is a refusal of a caller's request.
type Error struct {
	Kind    Kind
	Message string
	Ran     Ran
	// RetryAfter is when to come back; zero means that a retry will not help.
	RetryAfter time.Duration
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %s", e.Kind, e.Ran, e.Message) }

// New returns a refusal of a request that did not run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: NotRun, Message: fmt.Sprintf(format, args...)}
}

// WithRetry returns a copy that tells the caller when to come back.
func (e *Error) WithRetry(after time.Duration) *Error {
	clone := *e
	clone.RetryAfter = after

	return &clone
}

// WithRan returns a copy that says whether the request ran.
func (e *Error) WithRan(ran Ran) *Error {
	clone := *e
	clone.Ran = ran

	return &clone
}

// From returns err as a refusal; one of another kind becomes internal with an unknown effect.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}

	return &Error{Kind: Internal, Ran: Unknown, Message: err.Error()}
}

// statuses maps each kind to its HTTP status.
var statuses = map[Kind]int{
	Unauthenticated:  401,
	Forbidden:        403,
	InvalidRequest:   400,
	TooLarge:         413,
	NotFound:         404,
	RateLimited:      429,
	BudgetExhausted:  402,
	HistoryMismatch:  409,
	TurnConflict:     409,
	ProgramEnded:     410,
	KeyReused:        422,
	OutcomeUnknown:   502,
	Overloaded:       503,
	NoUpstream:       503,
	UpstreamFailed:   502,
	Quarantined:      422,
	LogUnavailable:   503,
	OwnerChanged:     503,
	Leaving:          503,
	DeadlineExceeded: 504,
	Cancelled:        499,
	SettingsConflict: 409,
	SettingsInvalid:  422,
	Internal:         500,
	MethodNotAllowed: 405,
}

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}

	return statuses[Internal]
}

// Body is the JSON shape of a refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of a refusal; type repeats kind for chat-completions clients.
type BodyError struct {
	Kind             Kind   `json:"kind"`
	Type             Kind   `json:"type"`
	Message          string `json:"message"`
	Ran              Ran    `json:"ran"`
	RetryAfterMillis int64  `json:"retry-after-ms,omitempty"`
}

// Body returns the JSON shape of the refusal.
func (e *Error) Body() Body {
	return Body{Error: BodyError{
		Kind:             e.Kind,
		Type:             e.Kind,
		Message:          e.Message,
		Ran:              e.Ran,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}}
}

// Parse returns the refusal in a body that another host has answered.
func (b Body) Parse() *Error {
	return &Error{
		Kind:       b.Error.Kind,
		Message:    b.Error.Message,
		Ran:        b.Error.Ran,
		RetryAfter: time.Duration(b.Error.RetryAfterMillis) * time.Millisecond,
	}
}
