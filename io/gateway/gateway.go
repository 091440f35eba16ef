package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/upstreamstats"
	"cardamomward/io/upstreamclient"
)

// Catalog tells the newest configuration and upstreams.
type Catalog interface {
	Config() *routing.Config
	Serving(service id.Service) []*registry.Instance
	Get(upstream id.Upstream) (*registry.Instance, bool)
}

// Rates admits requests within the rates of workspaces.
type Rates interface {
	// Admit reports whether a request may run now, and otherwise when to come back.
	Admit(ctx context.Context, workspace *routing.Workspace) (ok bool, retry time.Duration)
	// AdmitStart does so for the first turn of a program, for which the rate must hold the whole program.
	AdmitStart(ctx context.Context, workspace *routing.Workspace) (ok bool, retry time.Duration)
}

// Turn is what the owner of a program is told of a turn.
type Turn struct {
	Request   *inbound.Request
	Workspace id.Workspace
	Deadline  time.Time
	Retention time.Duration
	// Retains asks for the chain before the turn, and for the turn to be kept.
	Retains bool
}

// ProgramName returns the name by which the program's owner is found.
func (t Turn) ProgramName() string {
	switch {
	case t.Request.Program != "":
		return string(t.Request.Program)
	case t.Request.SessionID != "":
		return t.Request.SessionID
	default:
		return t.Request.ID
	}
}

// Verdict is what the owner of a program says of a turn.
type Verdict int

// Verdicts on a turn.
const (
	// Proceed lets the turn run.
	Proceed Verdict = iota
	// Spent says that the program's budget does not hold the turn.
	Spent
	// NoSuchTurn says that the turn to continue from does not exist.
	NoSuchTurn
	// Unsure says that nobody can tell now.
	Unsure
)

// Beginning is what the owner of a program answers to a turn.
type Beginning struct {
	Verdict Verdict
	// Chain is what was said before the turn.
	Chain []byte
	// Last is where the turn's line last ran.
	Last affinity.Location
	// Begun is set where the program has had a turn before.
	Begun bool
}

// Ending is what became of a turn.
type Ending struct {
	Chain  []byte
	Output []byte
	Tokens id.Tokens
	// Whole is set where the caller got the whole answer.
	Whole bool
	// Place is where the turn ran; it is empty where it ran nowhere.
	Place affinity.Location
}

// Turns keeps the budgets and histories of programs.
type Turns interface {
	// Begin reserves a turn's tokens and returns the chain before it.
	Begin(ctx context.Context, turn Turn) Beginning
	// End settles a turn; it reports whether the turn is kept where it is to be kept.
	End(ctx context.Context, turn Turn, ending Ending) bool
}

// Crashes counts the crashes of upstreams against the requests that ran there.
type Crashes interface {
	// Convicted reports whether a request has crashed too many upstreams.
	Convicted(fingerprint id.Fingerprint) bool
	// Lost notes that an upstream's answer to a request broke off.
	Lost(fingerprint id.Fingerprint, instance *registry.Instance)
}

// Loads counts what runs at upstreams, here and at other hosts.
type Loads interface {
	Running(upstream id.Upstream) int
	Add(upstream id.Upstream, delta int)
	// NoteRead notes that an upstream reads a part of a prompt, and Keeps reports whether one keeps it.
	NoteRead(upstream id.Upstream, part affinity.PromptPart)
	Keeps(upstream id.Upstream, part affinity.PromptPart) bool
}

// Gateway serves callers.
type Gateway struct {
	Catalog  Catalog
	Upstream *upstreamclient.Client
	Rates    Rates
	Turns    Turns
	Crashes  Crashes
	Loads    Loads
	Logger   logr.Logger
	Now      func() time.Time
	// Metrics counts requests; it may be nil.
	Metrics *Metrics
	// Elsewhere reports whether callers should go to other hosts: this one is about to stop, or cut off from them.
	Elsewhere func() bool

	// active holds the remote addresses of the connections on which requests run.
	active sync.Map

	pacesMu sync.Mutex
	paces   upstreamstats.Tracker
}
