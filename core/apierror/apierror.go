package apierror

import (
	"errors"
	"fmt"
	"time"
)

// Execution says whether a request was executed and may have had effects.
type Execution string

// Values of Execution.
const (
	// NotExecuted guarantees that the request had no effect.
	NotExecuted Execution = "not-run"
	// Executed means that the request was executed and may have had effects.
	Executed Execution = "ran"
	// ExecutionUnknown means that the request may have been executed.
	ExecutionUnknown Execution = "unknown"
)

// Kind is the machine-readable code of an error.
type Kind string

// Kinds of errors.
const (
	Unauthenticated Kind = "unauthenticated"
	// Forbidden means that the settings do not allow the caller's workspace to send the request.
	Forbidden      Kind = "forbidden"
	InvalidRequest Kind = "invalid-request"
	TooLarge       Kind = "too-large"
	NotFound       Kind = "not-found"
	RateLimited    Kind = "rate-limited"
	// BudgetExhausted means that the program has too few tokens left of its budget.
	BudgetExhausted Kind = "budget-exhausted"
	// HistoryMismatch means that the messages contain answers that differ from the recorded history of the program.
	HistoryMismatch Kind = "history-mismatch"
	// TurnConflict means that the turn is out of order, or that another turn is recorded under its number.
	TurnConflict Kind = "turn-conflict"
	ProgramEnded Kind = "program-ended"
	// IdempotencyKeyReused means that the idempotency key belongs to another call.
	IdempotencyKeyReused Kind = "idempotency-key-reused"
	// OutcomeUnknown means that a call that must not be repeated was sent, and that its outcome cannot be found out.
	OutcomeUnknown Kind = "outcome-unknown"
	// Overloaded means that the request waited too long or that too many others are waiting.
	Overloaded Kind = "overloaded"
	// NoUpstream means that the service has no upstream that can take the request.
	NoUpstream Kind = "no-upstream"
	// UpstreamFailed means that all permitted attempts at upstreams have failed.
	UpstreamFailed Kind = "upstream-failed"
	// Quarantined means that the request is refused because it has crashed upstreams.
	Quarantined Kind = "quarantined"
	// LogUnavailable means that this host cannot read or append to the platform's log now.
	LogUnavailable Kind = "log-unavailable"
	// OwnerChanged means that the host that got the request does not own its slot, or no longer does.
	OwnerChanged Kind = "owner-changed"
	// HostLeaving means that this host is shutting down and knows no other host to forward the request to.
	HostLeaving      Kind = "leaving"
	DeadlineExceeded Kind = "deadline-exceeded"
	// Cancelled means that the caller has disconnected or that the call was cancelled before it was sent.
	Cancelled Kind = "cancelled"
	// SettingsConflict means that a change is based on a version that is no longer in force.
	SettingsConflict Kind = "settings-conflict"
	SettingsInvalid  Kind = "settings-invalid"
	Internal         Kind = "internal"
	MethodNotAllowed Kind = "method-not-allowed"
)

// Error is an error that is returned to a caller.
type Error struct {
	Kind      Kind
	Message   string
	Execution Execution
	// RetryAfter is the delay before a retry; zero means that a retry does not help.
	RetryAfter time.Duration
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %s", e.Kind, e.Execution, e.Message) }

// New returns an error for a request that was not executed.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Execution: NotExecuted, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with the delay before a retry.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	clone := *e
	clone.RetryAfter = delay

	return &clone
}

// WithExecution returns a copy that states whether the request was executed.
func (e *Error) WithExecution(execution Execution) *Error {
	clone := *e
	clone.Execution = execution

	return &clone
}

// From returns the Error in err's chain; any other error becomes Internal with ExecutionUnknown.
func From(err error) *Error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}

	return &Error{Kind: Internal, Execution: ExecutionUnknown, Message: err.Error()}
}

// httpStatusByKind maps each kind to its HTTP status.
var httpStatusByKind = map[Kind]int{
	Unauthenticated:      401,
	Forbidden:            403,
	InvalidRequest:       400,
	TooLarge:             413,
	NotFound:             404,
	RateLimited:          429,
	BudgetExhausted:      402,
	HistoryMismatch:      409,
	TurnConflict:         409,
	ProgramEnded:         410,
	IdempotencyKeyReused: 422,
	OutcomeUnknown:       502,
	Overloaded:           503,
	NoUpstream:           503,
	UpstreamFailed:       502,
	Quarantined:          422,
	LogUnavailable:       503,
	OwnerChanged:         503,
	HostLeaving:          503,
	DeadlineExceeded:     504,
	Cancelled:            499,
	SettingsConflict:     409,
	SettingsInvalid:      422,
	Internal:             500,
	MethodNotAllowed:     405,
}

// HTTPStatus returns the HTTP status of the error's kind, 500 for an unknown kind.
func (e *Error) HTTPStatus() int {
	if status, ok := httpStatusByKind[e.Kind]; ok {
		return status
	}

	return httpStatusByKind[Internal]
}

// Body is the JSON response body of an error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in a Body; Type repeats Kind because chat-completions clients read type.
type BodyError struct {
	Kind             Kind      `json:"kind"`
	Type             Kind      `json:"type"`
	Message          string    `json:"message"`
	Execution        Execution `json:"ran"`
	RetryAfterMillis int64     `json:"retry-after-ms,omitempty"`
}

// Body returns the JSON response body of the error.
func (e *Error) Body() Body {
	return Body{Error: BodyError{
		Kind:             e.Kind,
		Type:             e.Kind,
		Message:          e.Message,
		Execution:        e.Execution,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}}
}

// ToError returns the error of a response body that another host sent.
func (b Body) ToError() *Error {
	return &Error{
		Kind:       b.Error.Kind,
		Message:    b.Error.Message,
		Execution:  b.Error.Execution,
		RetryAfter: time.Duration(b.Error.RetryAfterMillis) * time.Millisecond,
	}
}
