package executor

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
	// maxLogStaleness is the age limit of a host's last contact with the log for accepting requests.
	maxLogStaleness = 4 * time.Second
	// commitTimeout bounds the wait for the log to confirm a record.
	commitTimeout = 5 * time.Second
	// ownerChangedRetryAfter is the retry delay told to callers while a slot changes its owner.
	ownerChangedRetryAfter = 200 * time.Millisecond
	// logUnavailableRetryAfter is the retry delay told to callers while the log is unreachable.
	logUnavailableRetryAfter = 2 * time.Second
)

// Executor executes turns and service calls for the slots that its host owns.
type Executor struct {
	Host id.Host
	// Incarnation identifies this process in its slot claims.
	Incarnation id.Incarnation
	// Journal appends to the log of programs and service calls and holds the state that the log describes.
	Journal *platformclient.Journal[*projection.Programs]
	// Control holds the settings in force, API keys, crash reports and upstream reservations.
	Control    *platformclient.ControlPlane
	Dispatcher *Dispatcher
	// WorkerPool limits the number of concurrent upstream calls.
	WorkerPool *ants.Pool
	// ServiceHTTPClient sends calls to plain services; it keeps no idle connections, since some calls must not be repeated.
	ServiceHTTPClient *http.Client
	Logger            logr.Logger

	mu             sync.Mutex
	activePrograms map[id.Program]*activeProgram
	runningCalls   map[id.Slot]int
	inflightCalls  map[projection.CallKey]*inflightCall
	// unsentIntents holds the epochs of the intents whose call this host has not sent yet.
	unsentIntents map[projection.CallKey]id.Epoch
	balancer      leastrequest.Balancer
	retryBudget   retrybudget.Budget
	// unreportedCrashes holds the crashes that this host has seen, since the log may not have accepted their records.
	unreportedCrashes poison.Detector
	isolations        map[id.Service]*isolation
	pendingReleases   map[id.Slot]struct{}
}

var _ peer.SlotOwner = (*Executor)(nil)

// activeProgram is the in-memory state of a program while requests for it run.
type activeProgram struct {
	// turnLock is held by the running turn, so that a program runs one turn at a time.
	turnLock       chan struct{}
	refCount       int
	reservedTokens id.Tokens
}

// slotFence is the fencing token of a slot: records that carry an outdated epoch are rejected.
type slotFence struct {
	slot  id.Slot
	epoch id.Epoch
}

// acquireSlot checks that this host owns the slot and prevents its release until the returned function is called.
func (e *Executor) acquireSlot(slot id.Slot, now time.Time) (slotFence, func(), error) {
	if now.Sub(e.Journal.Status().LogReadAt) > maxLogStaleness {
		return slotFence{}, nil, apierror.New(apierror.LogUnavailable,
			"this host cannot reach the log, so it cannot record the request").WithRetryAfter(logUnavailableRetryAfter)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var state projection.SlotState
	e.Journal.View(func(p *projection.Programs) { state = p.Slot(slot) })
	_, hasPendingRelease := e.pendingReleases[slot]
	if state.State != projection.SlotOwned || state.Owner != e.Host || state.Incarnation != e.Incarnation || hasPendingRelease {
		return slotFence{}, nil, apierror.New(apierror.OwnerChanged, "slot %d is not owned by host %s", slot, e.Host).WithRetryAfter(ownerChangedRetryAfter)
	}
	if e.runningCalls == nil {
		e.runningCalls = make(map[id.Slot]int)
	}
	e.runningCalls[slot]++
	release := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runningCalls[slot]--; e.runningCalls[slot] == 0 {
			delete(e.runningCalls, slot)
		}
	}

	return slotFence{slot: slot, epoch: state.Epoch}, release, nil
}

// RunningCallCount returns the number of requests in progress.
func (e *Executor) RunningCallCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.runningCalls {
		total += n
	}

	return total
}

// commitRecord appends a record and waits until it is applied; it returns an error if the record is rejected or
// unconfirmed.
func (e *Executor) commitRecord(ctx context.Context, rec *record.Record) error {
	// The record may already be in the log, so its result is awaited even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	result, err := e.Journal.Append(ctx, rec)
	if err != nil {
		return apierror.New(apierror.LogUnavailable, "the log did not confirm the record in time: %v", err).
			WithExecution(apierror.ExecutionUnknown).WithRetryAfter(logUnavailableRetryAfter)
	}
	switch result.Reason {
	case projection.Valid:
		return nil
	case projection.StaleEpoch:
		return apierror.New(apierror.OwnerChanged, "another host has taken over the slot").WithRetryAfter(ownerChangedRetryAfter)
	case projection.ProgramNotOpen:
		return apierror.New(apierror.ProgramEnded, "the program has ended")
	case projection.NoSuchProgram:
		return apierror.New(apierror.NotFound, "there is no such program")
	case projection.IntentExists:
		return apierror.New(apierror.IdempotencyKeyReused, "a call with this idempotency key is in progress").WithRetryAfter(time.Second)
	default:
		return apierror.New(apierror.TurnConflict, "the log rejected the record: %s", result.Reason)
	}
}

// newRecord returns an empty record with the fencing token of the slot.
func (e *Executor) newRecord(fence slotFence) *record.Record {
	return record.NewFenced(e.Host, fence.slot, fence.epoch)
}

// useProgram returns the in-memory state of a program, which is kept until the returned function is called.
func (e *Executor) useProgram(program id.Program) (*activeProgram, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activePrograms == nil {
		e.activePrograms = make(map[id.Program]*activeProgram)
	}
	active, ok := e.activePrograms[program]
	if !ok {
		active = &activeProgram{turnLock: make(chan struct{}, 1)}
		e.activePrograms[program] = active
	}
	active.refCount++

	return active, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if active.refCount--; active.refCount == 0 && active.reservedTokens == 0 {
			delete(e.activePrograms, program)
		}
	}
}

// programView is a copy of the projected state of a program and of its root program.
type programView struct {
	projection.Program

	root projection.Program
}

// lookupProgram returns a program, or NotFound if it does not exist or the caller has no access to it.
func (e *Executor) lookupProgram(caller *peerpb.Caller, program id.Program) (programView, error) {
	var view programView
	ok := false
	e.Journal.View(func(p *projection.Programs) {
		found, exists := p.Program(program)
		root, rootExists := p.Program(program.Root())
		if exists && rootExists {
			view, ok = programView{Program: *found, root: *root}, true
		}
	})
	if !ok || (!caller.GetOperator() && string(view.Workspace) != caller.GetWorkspace()) {
		return programView{}, apierror.New(apierror.NotFound, "there is no program %q in this workspace", program)
	}

	return view, nil
}

// lookupWorkspace returns the settings in force and the named workspace in them, or Forbidden.
func (e *Executor) lookupWorkspace(name id.Workspace) (*settings.Fleet, *settings.Workspace, error) {
	fleet, _ := e.Control.Settings()
	workspace, ok := fleet.Workspaces[name]
	if !ok {
		return nil, nil, apierror.New(apierror.Forbidden, "workspace %q is not in the settings", name)
	}

	return fleet, workspace, nil
}
