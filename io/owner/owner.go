package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/leastrequest"
	"cardamomward/core/poison"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/retrybudget"
	"cardamomward/core/settings"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platformclient"
)

const (
	// staleAfter is how long a host that hears nothing from the log goes on taking work.
	staleAfter = 4 * time.Second
	// commitWait bounds how long an answer waits for its record.
	commitWait = 5 * time.Second
	// movedRetry is when to come back while a slot changes hands.
	movedRetry = 200 * time.Millisecond
	// logRetry is when to come back while the log is out of reach.
	logRetry = 2 * time.Second
)

// Owner runs the programs and calls of the slots that its host owns.
type Owner struct {
	Host id.Host
	// Run identifies this process in its claims.
	Run        id.Incarnation
	Journal    *platformclient.Journal[*projection.Programs]
	Control    *platformclient.ControlPlane
	Dispatcher *Dispatcher
	// Pool bounds the upstream calls under way.
	Pool *ants.Pool
	// ServiceHTTP sends calls that must not be repeated: it keeps no connections.
	ServiceHTTP *http.Client
	Logger      logr.Logger

	mu       sync.Mutex
	programs map[id.Program]*active
	busy     map[id.Slot]int
	flights  map[projection.CallKey]*flight
	// unsent holds the epochs of intents under which this host has sent nothing yet.
	unsent   map[projection.CallKey]id.Epoch
	balancer leastrequest.Balancer
	retries  retrybudget.Budget
	// unreported holds crashes that the log may not have taken.
	unreported poison.Detector
	isolations map[id.Service]*isolation
	sealed     map[id.Slot]struct{}
}

var _ peer.SlotOwner = (*Owner)(nil)

// active is what the owner keeps of a program while calls of it are under way.
type active struct {
	// turn is held by the turn that runs.
	turn     chan struct{}
	users    int
	reserved id.Tokens
}

// lease is the right to write for a slot.
type lease struct {
	slot  id.Slot
	epoch id.Epoch
}

// enter checks that this host owns the slot and keeps it from being released until leave is called.
func (o *Owner) enter(slot id.Slot, now time.Time) (lease, func(), error) {
	if now.Sub(o.Journal.Status().LogReadAt) > staleAfter {
		return lease{}, nil, apierror.New(apierror.LogUnavailable,
			"this host does not reach the log, so it can keep no turn").WithRetryAfter(logRetry)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var state projection.SlotState
	o.Journal.View(func(p *projection.Programs) { state = p.Slot(slot) })
	_, sealed := o.sealed[slot]
	if state.State != projection.SlotOwned || state.Owner != o.Host || state.Incarnation != o.Run || sealed {
		return lease{}, nil, apierror.New(apierror.OwnerChanged, "slot %d is not owned by host %s", slot, o.Host).WithRetryAfter(movedRetry)
	}
	if o.busy == nil {
		o.busy = make(map[id.Slot]int)
	}
	o.busy[slot]++
	leave := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.busy[slot]--; o.busy[slot] == 0 {
			delete(o.busy, slot)
		}
	}

	return lease{slot: slot, epoch: state.Epoch}, leave, nil
}

// Running returns how many calls are under way.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.busy {
		total += n
	}

	return total
}

// commit appends a record for a slot and returns an error unless it counts.
func (o *Owner) commit(ctx context.Context, rec *record.Record) error {
	// The record may be in the log already: its fate is awaited even if the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitWait)
	defer cancel()
	verdict, err := o.Journal.Append(ctx, rec)
	if err != nil {
		return apierror.New(apierror.LogUnavailable, "the log did not confirm the record in time: %v", err).
			WithExecution(apierror.ExecutionUnknown).WithRetryAfter(logRetry)
	}
	switch verdict.Reason {
	case projection.Valid:
		return nil
	case projection.StaleEpoch:
		return apierror.New(apierror.OwnerChanged, "another host has taken the slot").WithRetryAfter(movedRetry)
	case projection.ProgramNotOpen:
		return apierror.New(apierror.ProgramEnded, "the program has ended")
	case projection.NoSuchProgram:
		return apierror.New(apierror.NotFound, "there is no such program")
	case projection.IntentExists:
		return apierror.New(apierror.IdempotencyKeyReused, "a call with this idempotency key is under way").WithRetryAfter(time.Second)
	default:
		return apierror.New(apierror.TurnConflict, "the record is void: %s", verdict.Reason)
	}
}

func (o *Owner) record(l lease) *record.Record { return record.NewFenced(o.Host, l.slot, l.epoch) }

// use returns the program's active state until the returned function is called.
func (o *Owner) use(program id.Program) (*active, func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.programs == nil {
		o.programs = make(map[id.Program]*active)
	}
	a, ok := o.programs[program]
	if !ok {
		a = &active{turn: make(chan struct{}, 1)}
		o.programs[program] = a
	}
	a.users++

	return a, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if a.users--; a.users == 0 && a.reserved == 0 {
			delete(o.programs, program)
		}
	}
}

// view is a copy of what the fold knows of a program and its root.
type view struct {
	projection.Program

	root projection.Program
}

// lookup returns a program that the caller may see.
func (o *Owner) lookup(caller *peerpb.Caller, program id.Program) (view, error) {
	var v view
	ok := false
	o.Journal.View(func(p *projection.Programs) {
		found, exists := p.Program(program)
		root, rootExists := p.Program(program.Root())
		if exists && rootExists {
			v, ok = view{Program: *found, root: *root}, true
		}
	})
	if !ok || (!caller.GetOperator() && string(v.Workspace) != caller.GetWorkspace()) {
		return view{}, apierror.New(apierror.NotFound, "there is no program %q in this workspace", program)
	}

	return v, nil
}

func (o *Owner) workspace(name id.Workspace) (*settings.Fleet, *settings.Workspace, error) {
	fleet, _ := o.Control.Settings()
	workspace, ok := fleet.Workspaces[name]
	if !ok {
		return nil, nil, apierror.New(apierror.Forbidden, "workspace %q is not in the settings", name)
	}

	return fleet, workspace, nil
}
