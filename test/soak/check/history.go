package check

import (
	"fmt"
	"net/http"
	"time"
)

// RequestID identifies an attempt of a caller.
type RequestID string

// Host is the name of a host.
type Host string

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// Turn is a turn of a program on a route that retains context.
	Turn Kind = "turn"
	// Stream is an attempt to receive a resumable stream.
	Stream Kind = "stream"
	// Order is a call that must not be executed twice.
	Order Kind = "order"
	// Probe is a plain request that tests an API key.
	Probe Kind = "probe"
)

// Request is an attempt of a caller with the response that it received.
type Request struct {
	ID   RequestID
	Kind Kind
	Host Host
	Key  string
	// Operation names what the caller wants done; several attempts may name the same operation.
	Operation string
	// Previous is the turn that a turn continues from, and Transcript the text that an upstream must receive for the turn.
	Previous   RequestID
	Transcript string
	// Program and Budget are set for requests of programs whose budget is checked.
	Program string
	Budget  Tokens
	SentAt  time.Time
	EndedAt time.Time
	// Status is zero if no response arrived.
	Status int
	// IsFromUpstream is set if the response says that an upstream produced it, AnsweredID is the request that it names.
	IsFromUpstream bool
	AnsweredID     RequestID
	// IsWhole is set if the response arrived to its end, and Body is what arrived.
	IsWhole bool
	Body    string
	// HasLeft is set if the caller itself closed the connection.
	HasLeft bool
}

// isAnswered reports whether the request was answered whole by an upstream.
func (r *Request) isAnswered() bool { return r.Status == http.StatusOK && r.IsWhole }

// Received is a resumable stream as its caller received it over all attempts.
type Received struct {
	Operation  string
	Events     string
	IsComplete bool
}

// Execution is a request that an upstream has executed.
type Execution struct {
	Request  RequestID
	Upstream string
	Body     string
	At       time.Time
}

// Period is a time span of a fault or of a stall of the machine; To is zero while it has not ended.
type Period struct {
	From time.Time
	To   time.Time
}

// overlaps reports whether the period has a common moment with the time span between two times.
func (p Period) overlaps(from, to time.Time) bool {
	return !p.From.After(to) && (p.To.IsZero() || !p.To.Before(from))
}

// Disturbance is the period of a fault.
type Disturbance struct {
	Period

	Kind DisturbanceKind
	// Host is the host that is hit; empty for the others.
	Host Host
}

// DisturbanceKind says what a fault disturbs.
type DisturbanceKind string

// Kinds of disturbances.
const (
	// HostLost is a host whose process was killed, from its end until it is ready again.
	HostLost DisturbanceKind = "host-lost"
	// HostDrained is a host whose process was asked to end, from the signal until it is ready again.
	HostDrained DisturbanceKind = "host-drained"
	// HostPaused is a host whose process does not run.
	HostPaused DisturbanceKind = "host-paused"
	// StoreDisturbed is a store that does not serve all hosts as usual.
	StoreDisturbed DisturbanceKind = "store-disturbed"
	// CallersDisturbed is a host whose link to its callers is disturbed.
	CallersDisturbed DisturbanceKind = "callers-disturbed"
	// UpstreamDisturbed is an upstream that is replaced, or whose link is disturbed.
	UpstreamDisturbed DisturbanceKind = "upstream-disturbed"
	// Stall is a period in which the machine did not run the soak's own timers in time.
	Stall DisturbanceKind = "stall"
)

// Key is an API key with the acknowledgements of the configurations that added and withdrew it.
type Key struct {
	Name string
	// AddedIn is the version that added the key, and WithdrawnIn the one that withdrew it; zero if none did.
	AddedIn     int64
	WithdrawnIn int64
	AddedAt     time.Time
	WithdrawnAt time.Time
}

// Removal is the time in which an upstream is not registered although its process runs; To is zero if it was not registered again.
type Removal struct {
	Period

	Upstream string
}

// Exit is the end of a host's process.
type Exit struct {
	Host Host
	At   time.Time
	// State is the exit state as the operating system tells it, and IsSuccess is set for exit code 0.
	State     string
	IsSuccess bool
	// WasReady is set if the process served callers; a signal may end an earlier one before it handles signals.
	WasReady bool
	// KilledAt and TerminatedAt are when the soak sent SIGKILL and the first SIGTERM; zero if it did not.
	KilledAt     time.Time
	TerminatedAt time.Time
}

// Usage is a sample of the resources of a host's process.
type Usage struct {
	Host  Host
	At    time.Time
	Bytes int64
	Files int
}

// Settlement tells when a program could continue after the last fault.
type Settlement struct {
	Operation string
	// Previous is the turn that the program continues from; empty for its first turn.
	Previous RequestID
	// ServedAt is zero if it was not served before the run ended.
	ServedAt time.Time
	// LastStatus is the status of the last attempt.
	LastStatus int
}

// Bounds are the limits of a run.
type Bounds struct {
	// Retention is the time for which a turn must be found, and Recovery that after the last fault in which a program may be refused.
	Retention time.Duration
	Recovery  time.Duration
	// ConfigurationApply is the time for which a connected host may use an older configuration, and StableWindow how long a host must have been
	// undisturbed to count as connected.
	ConfigurationApply time.Duration
	StableWindow       time.Duration
	// DrainLimit is the time in which a process must end after SIGTERM.
	DrainLimit time.Duration
	// HostBytes and HostFiles limit the resources of a process.
	HostBytes int64
	HostFiles int
	// RequestsPerWindow is the most requests of RateKey that upstreams may execute in each RateWindow.
	RequestsPerWindow float64
	RateWindow        time.Duration
	RateKey           string
	// TokensPerEvent is the number of tokens of an event, and MaxTurnTokens the most that a turn may be charged.
	TokensPerEvent Tokens
	MaxTurnTokens  Tokens
	// EventCount is the number of events of a stream, and Versions are the software versions of upstreams.
	EventCount int
	Versions   []string
}

// History is the record of a run.
type History struct {
	Bounds       Bounds
	Hosts        []Host
	Requests     []Request
	Received     []Received
	Executions   []Execution
	Disturbances []Disturbance
	Keys         []Key
	Removals     []Removal
	Exits        []Exit
	Usages       []Usage
	// FaultsEndedAt is the end of the last fault, with all hosts running again.
	FaultsEndedAt time.Time
	Settlements   []Settlement
}

// Promise is a promise of the gateway.
type Promise string

// Violation is an observation that breaks a promise.
type Violation struct {
	Promise Promise
	At      time.Time
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
}

// Check finds the violations of one promise.
type Check struct {
	Promise Promise
	Find    func(h *History) []Violation
}

// All returns the checks of all promises.
func All() []Check {
	return []Check{
		{"at-most-once", findRepeatedOrders},
		{"running-once", findRestartedRequests},
		{"rejections-are-true", findFalseRejections},
		{"response-of-request", findForeignResponses},
		{"streams-are-whole", findBrokenStreams},
		{"turns-are-retained", findLostTurns},
		{"turns-are-in-order", findWrongTranscripts},
		{"budgets-hold", findWrongBudgets},
		{"rates-hold", findExcessiveRates},
		{"keys-apply", findOutdatedKeys},
		{"configuration-advances", findConfigurationsThatGoBack},
		{"removed-upstreams-are-unused", findUsesOfRemovedUpstreams},
		{"no-exit-by-itself", findUnexpectedExits},
		{"drains-cut-nothing", findCutRequests},
		{"stop-of-all-cuts-nothing", findRequestsCutByStopOfAll},
		{"pauses-cut-nothing", findRequestsCutByPauses},
		{"resources-are-bounded", findExcessiveUsage},
		{"recovery-in-time", findLateRecoveries},
	}
}

// Run finds the violations of all promises.
func Run(h *History) []Violation {
	var violations []Violation
	for _, c := range All() {
		for _, v := range c.Find(h) {
			v.Promise = c.Promise
			violations = append(violations, v)
		}
	}

	return violations
}

func violation(at time.Time, format string, args ...any) Violation {
	return Violation{At: at, Detail: fmt.Sprintf(format, args...)}
}

// isDisturbed reports whether a disturbance that matches overlaps with a time span.
func (h *History) isDisturbed(from, to time.Time, matches func(d *Disturbance) bool) bool {
	for i := range h.Disturbances {
		if h.Disturbances[i].overlaps(from, to) && matches(&h.Disturbances[i]) {
			return true
		}
	}

	return false
}

// executionsByRequest returns the executions of each request.
func (h *History) executionsByRequest() map[RequestID][]Execution {
	byRequest := make(map[RequestID][]Execution)
	for _, e := range h.Executions {
		byRequest[e.Request] = append(byRequest[e.Request], e)
	}

	return byRequest
}
