package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options limit the plans that Generate draws.
type Options struct {
	Hosts    int
	Duration time.Duration
	// Kinds are the kinds of faults to draw; none means all.
	Kinds []Kind
}

const (
	// firstFaultAt leaves callers time to begin programs.
	firstFaultAt = time.Second
	// maxGap bounds the part of a fault's length that separates it from the next one, so that long faults overlap with several.
	maxGap = 2 * time.Second
	// grid is the resolution of times in a plan, so that a printed plan is short.
	grid = 10 * time.Millisecond
	// releaseDistance separates releases of upstreams from faults of the store: a release while the store is disturbed is a known
	// limit of the gateway (KNOWN-RED.txt).
	releaseDistance = 4 * time.Second
)

// lengths are the shortest and the longest duration of each kind of fault. Pauses are shorter and longer than the time in which owners
// count as silent (0.45 s) and the lease of an owner (1 s).
var lengths = map[Kind][2]time.Duration{
	Terminate:         {100 * time.Millisecond, 800 * time.Millisecond},
	TerminateTwice:    {100 * time.Millisecond, 800 * time.Millisecond},
	TerminateStarting: {10 * time.Millisecond, 400 * time.Millisecond},
	Pause:             {150 * time.Millisecond, 2500 * time.Millisecond},
	Kill:              {50 * time.Millisecond, 1500 * time.Millisecond},
	StoreSlow:         {500 * time.Millisecond, 4 * time.Second},
	StoreDown:         {200 * time.Millisecond, 4 * time.Second},
	StoreCut:          {200 * time.Millisecond, 4 * time.Second},
	StoreLossy:        {500 * time.Millisecond, 4 * time.Second},
	StoreForget:       {0, 0},
	Release:           {500 * time.Millisecond, 1500 * time.Millisecond},
	Crash:             {0, 0},
	// A removal is longer than the time in which it must apply, so that hosts may not use the upstream at its end.
	Remove:            {6 * time.Second, 9 * time.Second},
	ChangeKeys:        {0, 0},
	LinkDelay:         {500 * time.Millisecond, 4 * time.Second},
	LinkTrickle:       {500 * time.Millisecond, 4 * time.Second},
	LinkReset:         {0, 3 * time.Second},
	LinkDrop:          {200 * time.Millisecond, 4 * time.Second},
	LinkDropRequests:  {200 * time.Millisecond, 4 * time.Second},
	LinkDropResponses: {200 * time.Millisecond, 4 * time.Second},
	LinkRepeat:        {0, 2 * time.Second},
}

// Generate draws a plan: the same seed and options give the same plan. Faults begin one after another and often overlap.
func Generate(seed Seed, options Options) Plan {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	p := Plan{Seed: seed, Hosts: options.Hosts, Duration: options.Duration}
	drawn := options.Kinds
	if len(drawn) == 0 {
		drawn = kinds
	}
	for at := firstFaultAt; at < options.Duration; {
		f := Fault{At: at, Kind: drawn[random.IntN(len(drawn))]}
		limits := lengths[f.Kind]
		f.For = (limits[0] + time.Duration(random.Int64N(int64(limits[1]-limits[0])+1))).Truncate(grid)
		f.Target = drawTarget(random, f.Kind, options.Hosts)
		p.Faults = append(p.Faults, f)
		// Half of the gaps are shorter than the fault, so that the next one overlaps with it.
		at += (time.Duration(2*random.Float64()*float64(min(f.For, maxGap))) + time.Duration(random.Int64N(int64(time.Second)))).Truncate(grid)
	}
	sortFaults(p.Faults)
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind == Release && p.isNearStoreFault(f) })

	return p
}

// isNearStoreFault reports whether a fault is closer than releaseDistance to one that disturbs the store.
func (p Plan) isNearStoreFault(f Fault) bool {
	return slices.ContainsFunc(p.Faults, func(other Fault) bool {
		return other.DisturbsStore() && other.At < f.At+f.For+releaseDistance && f.At < other.At+other.For+releaseDistance
	})
}

// severalHostsShare is the share of faults of hosts that hit all of them.
const severalHostsShare = 0.25

func drawTarget(random *rand.Rand, kind Kind, hosts int) Target {
	host := HostName(random.IntN(hosts))
	several := random.Float64() < severalHostsShare
	isInTurn := random.IntN(2) == 0
	engine, desk := EngineName(random.IntN(EngineCount)), DeskName(random.IntN(DeskCount))
	switch {
	case kind == LinkRepeat:
		return StoreLink + host
	case kind.HitsLinks():
		return []Target{StoreLink + host, CallersLink + host, UpstreamLink + engine, UpstreamLink + desk}[random.IntN(4)]
	case kind.HitsHosts() && several && isInTurn:
		return InTurn
	case kind.HitsHosts() && several && kind != TerminateStarting:
		return All
	case kind.HitsHosts(), kind == StoreCut:
		return host
	case kind == Release:
		return engine
	case (kind == Crash || kind == Remove) && isInTurn:
		return desk
	case kind == Crash, kind == Remove:
		return engine
	default:
		return ""
	}
}
