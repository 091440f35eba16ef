package reverseproxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/affinity"
	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/core/upstreamlimit"
	"cardamomward/core/upstreamstats"
	"cardamomward/io/httpx"
	"cardamomward/io/upstreamclient"
)

// Discovery returns the newest configuration and the registered upstreams.
type Discovery interface {
	// Config returns the newest configuration, or nil if none is known.
	Config() *routing.Config
	// AvailableUpstreams returns the upstreams of a service that may receive new requests.
	AvailableUpstreams(service id.Service) []*registry.Instance
	// RegisteredUpstreams returns all upstreams of a service, including those that may not receive new requests.
	RegisteredUpstreams(service id.Service) []*registry.Instance
	// EvacuatedUpstreams returns the upstreams of a service that receive no new requests only because their failure domain is
	// evacuated.
	EvacuatedUpstreams(service id.Service) []*registry.Instance
	// IsEvacuated reports whether a failure domain is evacuated.
	IsEvacuated(domain id.FailureDomain) bool
	// SoleVersion returns the software version of all upstreams of a service, and whether they have had no other for a period.
	SoleVersion(service id.Service, period time.Duration) (id.SoftwareVersion, streamorigin.Knowledge)
	// VerifyOrigin reports whether the registrations confirm the version of a stream's origin.
	VerifyOrigin(origin streamorigin.Origin) streamorigin.Knowledge
	// ConfirmOrigin reports whether a stream is known to have begun at the recorded process, which served at connectedAt if that is
	// not zero.
	ConfirmOrigin(origin streamorigin.Origin, connectedAt time.Time) bool
	// HasReadSince reports whether the registrations of all upstreams that served at a time have been read.
	HasReadSince(servedAt time.Time) bool
	// IsReading reports whether the registrations are being read, so that HasReadSince may soon be true.
	IsReading() bool
	// RefreshUpstreams reads the registrations soon instead of at the next regular read.
	RefreshUpstreams()
	// HasSoleVersion reports whether no other version of a service is known to have been registered within a period.
	HasSoleVersion(service id.Service, version id.SoftwareVersion, period time.Duration) bool
	// GetUpstream returns a registered upstream, and false if it is not registered.
	GetUpstream(upstream id.Upstream) (*registry.Instance, bool)
}

// RateLimiter enforces the request rates of workspaces over all hosts.
type RateLimiter interface {
	// AdmitRequest reports whether a request may run now, and otherwise after how long to retry.
	AdmitRequest(ctx context.Context, workspace *routing.Workspace) (ok bool, retryAfter time.Duration)
	// AdmitProgram does the same for the first turn of a program, and requires that the rate has room for all of the
	// program's expected requests.
	AdmitProgram(ctx context.Context, workspace *routing.Workspace) (ok bool, retryAfter time.Duration)
}

// Turn describes one turn of a program to the program's owner.
type Turn struct {
	Request   *inbound.Request
	Workspace id.Workspace
	Deadline  time.Time
	// Retention is the period in which the turn can be continued from if it is retained.
	Retention time.Duration
	// RetainsContext is set if the turn continues from a retained transcript and is retained itself.
	RetainsContext bool
}

// ProgramKey returns the key that is hashed to the program's slot: the program, else the session, else the request id.
func (t Turn) ProgramKey() string {
	switch {
	case t.Request.Program != "":
		return string(t.Request.Program)
	case t.Request.SessionID != "":
		return t.Request.SessionID
	default:
		return t.Request.ID
	}
}

// BeginStatus is the owner's decision on whether a turn may run.
type BeginStatus int

// Values of BeginStatus.
const (
	// TurnAllowed means that the turn may run.
	TurnAllowed BeginStatus = iota
	// BudgetExhausted means that the turn would exceed the program's token budget.
	BudgetExhausted
	// PreviousTurnNotFound means that the turn to continue from does not exist.
	PreviousTurnNotFound
	// OwnerUnavailable means that the program's owner did not respond in time.
	OwnerUnavailable
	// TooManyPrograms means that the program is new and its owner has no memory for another one.
	TooManyPrograms
)

// BeginResult is the owner's response to TurnService.BeginTurn.
type BeginResult struct {
	Status BeginStatus
	// PriorTranscript is the transcript up to the previous turn.
	PriorTranscript []byte
	// LastLocation is the location of the last turn with the same affinity key; it is empty if none is known.
	LastLocation affinity.Location
	// ContinuesProgram is set if the program has had a turn before.
	ContinuesProgram bool
}

// TurnResult is the outcome of a turn that has ended.
type TurnResult struct {
	// PriorTranscript is the transcript that BeginTurn returned.
	PriorTranscript []byte
	// Output is the data of the forwarded events, each followed by a newline; it is only set for retained turns.
	Output       []byte
	OutputTokens id.Tokens
	// IsComplete is set if the caller received the whole response.
	IsComplete bool
	// Location is the upstream and cache of the turn; it is empty if no upstream completed it.
	Location affinity.Location
}

// TurnService enforces the token budgets of programs and stores their retained turns.
type TurnService interface {
	// BeginTurn reserves a turn's tokens and returns the transcript up to the previous turn.
	BeginTurn(ctx context.Context, turn Turn) BeginResult
	// EndTurn settles a turn's token reservation and stores the turn if it is to be retained; it returns false if storing
	// failed.
	EndTurn(ctx context.Context, turn Turn, result TurnResult) bool
}

// StreamTracker remembers at which version of an upstream the streams of all hosts began.
type StreamTracker interface {
	// RecordStreamOrigin remembers where the stream of an attempt began.
	RecordStreamOrigin(attempt streamorigin.Attempt, origin streamorigin.Origin)
	// FindStreamOrigin returns where the stream of an attempt began if this host or one that is asked knows.
	FindStreamOrigin(ctx context.Context, attempt streamorigin.Attempt) (streamorigin.Origin, streamorigin.Knowledge)
}

// CrashTracker counts upstream crashes per request fingerprint.
type CrashTracker interface {
	// IsRequestBlocked reports whether a request has crashed too many upstreams.
	IsRequestBlocked(fingerprint id.Fingerprint) bool
	// RecordCrash records that an upstream failed before its response to a request was complete.
	RecordCrash(fingerprint id.Fingerprint, instance *registry.Instance)
}

// UpstreamLimiter enforces over all hosts the request rates that upstreams name in their responses or take while they are cold.
type UpstreamLimiter interface {
	// RecordUpstreamLimit records what a response says of the limit of an upstream.
	RecordUpstreamLimit(statement upstreamlimit.Statement)
	// AdmissionDelay estimates the time until an upstream's limit admits a request; it is zero if the upstream has none.
	AdmissionDelay(instance *registry.Instance) time.Duration
	// ColdDelay reports whether an upstream is cold, and estimates the time until it admits a request.
	ColdDelay(instance *registry.Instance, policy coldstart.Policy) (isCold bool, delay time.Duration)
	// RecordCold records that an upstream is cold for a time.
	RecordCold(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy, source coldstart.Source)
	// AdmitToUpstream reports whether a request may be sent to an upstream now within its limit and the rate that it takes while
	// it is cold, and otherwise after how long to ask again.
	AdmitToUpstream(ctx context.Context, instance *registry.Instance, policy coldstart.Policy) (ok bool, retryAfter time.Duration)
}

// ShutdownTracker remembers which upstreams have announced that they shut down.
type ShutdownTracker interface {
	// RecordLeaving records that a response announces the shutdown of an upstream.
	RecordLeaving(instance *registry.Instance)
	// UpstreamUse returns whether an upstream may be used after an announcement of its shutdown.
	UpstreamUse(instance *registry.Instance) leaving.Use
}

// LoadTracker counts the requests of all hosts at each upstream and tracks which prompt parts upstreams cache.
type LoadTracker interface {
	// RunningRequests returns how many requests of all hosts run at an upstream.
	RunningRequests(upstream id.Upstream) int
	// AddRunningRequests changes the number of this host's requests at an upstream.
	AddRunningRequests(upstream id.Upstream, delta int)
	// PeerErrors returns the highest error score that another live host reports for an upstream.
	PeerErrors(upstream id.Upstream) float64
	// RecordPromptPartRead records that an upstream reads a prompt part, which puts the part in its cache.
	RecordPromptPartRead(upstream id.Upstream, part affinity.PromptPartHash)
	// CachesPromptPart reports whether an upstream is assumed to have a prompt part in its cache.
	CachesPromptPart(upstream id.Upstream, part affinity.PromptPartHash) bool
}

// Proxy handles callers' requests.
type Proxy struct {
	Discovery      Discovery
	UpstreamClient *upstreamclient.Client
	Reports        ReportReader
	RateLimiter    RateLimiter
	Turns          TurnService
	Crashes        CrashTracker
	Streams        StreamTracker
	Loads          LoadTracker
	Limits         UpstreamLimiter
	Shutdowns      ShutdownTracker
	// Overload is nil if admission under overload is off.
	Overload *OverloadAdmission
	// Memory bounds requests, transcripts and their copies; nil means no bound beside that of the server.
	Memory *httpx.MemoryBudget
	// ResponseMemory bounds responses until callers have received them; nil means Memory.
	ResponseMemory *httpx.MemoryBudget
	Logger         logr.Logger
	Now            func() time.Time
	// Metrics is optional.
	Metrics *Metrics
	// FailureDomain is the host's, and FailureDomainCost the cost of an upstream in another one.
	FailureDomain     id.FailureDomain
	FailureDomainCost time.Duration
	// LearnsCosts chooses upstreams by learned costs and outstanding work, which Work tracks.
	LearnsCosts bool
	Work        WorkTracker
	// ShouldCloseConnections reports whether callers should reconnect to another host, because this one is draining or
	// isolated from the others.
	ShouldCloseConnections func() bool

	// ResponsesEndAt returns when the host ends all responses, and false while it does not shut down; nil means that it never does.
	ResponsesEndAt func() (time.Time, bool)

	// activeConnections holds the remote addresses of the connections with a request in progress.
	activeConnections sync.Map
	// largeEventBytes is the size of the large events that are being read.
	largeEventBytes atomic.Int64

	durations routeDurations

	statsMu sync.Mutex
	stats   upstreamstats.Tracker
	learned learnedCosts
}
