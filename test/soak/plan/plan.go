package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Seed determines the faults and the callers of a plan.
type Seed uint64

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// Terminate sends SIGTERM, waits for the end of the process and starts it again.
	Terminate Kind = "terminate"
	// TerminateTwice sends a second SIGTERM during the drain.
	TerminateTwice Kind = "terminate-twice"
	// TerminateStarting starts the process again and sends SIGTERM during its start.
	TerminateStarting Kind = "terminate-starting"
	// Pause stops the process by SIGSTOP and continues it by SIGCONT.
	Pause Kind = "pause"
	// Kill ends the process by SIGKILL and starts it again.
	Kill Kind = "kill"
	// StoreSlow delays the responses of the store.
	StoreSlow Kind = "store-slow"
	// StoreDown makes the store reject all requests.
	StoreDown Kind = "store-down"
	// StoreCut resets the connections between one host and the store.
	StoreCut Kind = "store-cut"
	// StoreLossy executes calls of the store without a response, or late.
	StoreLossy Kind = "store-lossy"
	// StoreForget makes the store forget its history except the newest record of each key.
	StoreForget Kind = "store-forget"
	// Release drains an upstream and replaces it by one of another software version.
	Release Kind = "release"
	// Crash resets all connections of an upstream, whose process is replaced by one of the same version.
	Crash Kind = "crash"
	// Remove removes the registration of an upstream whose process runs on, without draining it, then registers it again.
	Remove Kind = "remove"
	// ChangeKeys publishes a configuration that adds an API key and withdraws another one.
	ChangeKeys Kind = "change-keys"
	// LinkDelay delays what passes a link in both directions, and LinkTrickle limits its bandwidth.
	LinkDelay   Kind = "link-delay"
	LinkTrickle Kind = "link-trickle"
	// LinkReset resets the connections of a link.
	LinkReset Kind = "link-reset"
	// LinkDrop stops what passes a link without a sign, LinkDropRequests and LinkDropResponses that in one direction.
	LinkDrop          Kind = "link-drop"
	LinkDropRequests  Kind = "link-drop-requests"
	LinkDropResponses Kind = "link-drop-responses"
	// LinkRepeat sends the latest requests of a link to the store again, late.
	LinkRepeat Kind = "link-repeat"
)

// Target is what a fault hits: the name of a host, an upstream or a link, All or InTurn; empty for faults of the store and of keys.
type Target string

// Prefixes of the names of links; the name of a host or an upstream follows.
const (
	// StoreLink precedes a host: its link to the store.
	StoreLink Target = "store/"
	// CallersLink precedes a host: the link of its callers.
	CallersLink Target = "callers/"
	// UpstreamLink precedes an upstream: the link of all hosts to it.
	UpstreamLink Target = "upstream/"
)

// Targets that stand for several hosts.
const (
	// All hits all hosts at the same time.
	All Target = "all"
	// InTurn hits all hosts one after another.
	InTurn Target = "in-turn"
)

// Fault is a fault that begins at a time after the start of the run and lasts for a while.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target Target
}

// Plan is the plan of a run.
type Plan struct {
	Seed     Seed
	Hosts    int
	Duration time.Duration
	Faults   []Fault
}

// HostName returns the name of the host with a number, counted from 0.
func HostName(number int) Target { return Target(fmt.Sprintf("host-%d", number)) }

// EngineName returns the name of the engine with a number, counted from 0.
func EngineName(number int) Target { return Target(fmt.Sprintf("engine-%d", number)) }

// DeskName returns the name of the plain upstream with a number, counted from 0.
func DeskName(number int) Target { return Target(fmt.Sprintf("desk-%d", number)) }

// EngineCount and DeskCount are the numbers of upstreams of a run.
const (
	EngineCount = 4
	DeskCount   = 2
)

// HitsHosts reports whether the fault hits processes of hosts.
func (k Kind) HitsHosts() bool {
	return k == Pause || k == Kill || k.IsTermination()
}

// IsTermination reports whether the fault ends processes by SIGTERM.
func (k Kind) IsTermination() bool {
	return k == Terminate || k == TerminateTwice || k == TerminateStarting
}

// HitsStore reports whether the fault disturbs calls of the store.
func (k Kind) HitsStore() bool {
	return k == StoreSlow || k == StoreDown || k == StoreCut || k == StoreLossy || k == StoreForget
}

// HitsUpstreams reports whether the fault hits an upstream.
func (k Kind) HitsUpstreams() bool { return k == Release || k == Crash || k == Remove }

// HitsLinks reports whether the fault hits a link.
func (k Kind) HitsLinks() bool { return strings.HasPrefix(string(k), "link-") }

// DisturbsStore reports whether the fault disturbs calls of the store by all hosts or one.
func (f Fault) DisturbsStore() bool {
	return f.Kind.HitsStore() || f.Kind.HitsLinks() && strings.HasPrefix(string(f.Target), string(StoreLink))
}

// Without returns the plan without one of its faults.
func (p Plan) Without(index int) Plan {
	p.Faults = slices.Delete(slices.Clone(p.Faults), index, index+1)

	return p
}

// sortFaults orders the faults by their begin.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
