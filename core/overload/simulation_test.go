package overload_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cardamomward/core/fairshare"
	"cardamomward/core/id"
	"cardamomward/core/overload"
)

// The simulated service: programs of several turns with tools between them, at upstreams that queue beyond their slots in
// order of arrival.
const (
	slotsPerUpstream = 16
	meanTurn         = 1500 * time.Millisecond
	meanTool         = 500 * time.Millisecond
	// turnsPerProgram is the mean of the numbers of turns, which are between 1 and maxTurns.
	turnsPerProgram = 5
	maxTurns        = 2*turnsPerProgram - 1
	baseOccupancy   = 0.75
	workspaceCount  = 20
	hotWorkspace    = 0
	// deadlineFactor times the time that a program takes without queues, plus deadlineSlack, is its deadline.
	deadlineFactor = 1.6
	deadlineSlack  = 4 * time.Second
	// viewInterval is the interval of views, of which lostShare are lost.
	viewInterval = 100 * time.Millisecond
	// admittedWindow is of the order of the delay of views, after which hosts that share a threshold change their decisions.
	admittedWindow = 500 * time.Millisecond
	lostShare      = 0.1
	simulated      = 44 * time.Second
	// measuredFrom is when the load has settled after its start from zero, and after a step.
	measuredFrom = 18 * time.Second
)

type simulation struct {
	hosts, upstreams int
	minDelay         time.Duration
	maxDelay         time.Duration
	enabled          bool
	// singleWorkspace reports all loads as those of one workspace.
	singleWorkspace bool
	// demand returns the factor of a workspace's usual load, and gone how many upstreams are away.
	demand func(at time.Duration, workspace int) float64
	gone   func(at time.Duration) int
	// lowPriorityShare is the part of the programs whose route has priority 2; that of the others is 0.
	lowPriorityShare float64

	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int
	engines  []simulatedUpstream
	running  []int
	history  []snapshot
	views    []*snapshot
	classes  []overload.Classes
	starts   overload.Rate
	result   simulationResult
}

// simulatedUpstream is one upstream with its queue of turns.
type simulatedUpstream struct {
	running int
	queue   []*program
}

// snapshot is the state of the fleet at a time.
type snapshot struct {
	at         time.Duration
	running    []int
	workspaces []fairshare.Load
	slots      int
	free       int
	total      int
	starts     float64
}

type program struct {
	workspace int
	priority  int
	turnsLeft int
	deadline  time.Duration
	arrivedAt time.Duration
	upstream  int
	turn      time.Duration
	tool      time.Duration
}

// workspaceCounts are what became of a workspace's programs that arrived in the measured period.
type workspaceCounts struct{ arrived, inTime, attempts, refused int }

type simulationResult struct {
	byWorkspace [workspaceCount]workspaceCounts
	byPriority  map[int]*workspaceCounts
	// occupancy is sampled each viewInterval.
	occupancy []float64
	// admitted counts the programs that start in each admittedWindow.
	admitted []int
	// refusedWhileFree counts refusals while more slots were free during the whole delay of the views than programs arrived.
	refusedWhileFree int
	refused          int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]

	return last
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + delay, s.sequence, run})
}

func (s *simulation) exp(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// run simulates the service and returns what became of its programs.
func (s *simulation) run() *simulationResult {
	s.random = rand.New(rand.NewPCG(1, 1))
	s.engines, s.running = make([]simulatedUpstream, s.upstreams), make([]int, workspaceCount)
	s.views, s.classes = make([]*snapshot, s.hosts), make([]overload.Classes, s.hosts)
	s.result = simulationResult{byPriority: map[int]*workspaceCounts{0: {}, 2: {}}, admitted: make([]int, int(simulated/admittedWindow)+1)}
	if s.demand == nil {
		s.demand = func(time.Duration, int) float64 { return 1 }
	}
	if s.gone == nil {
		s.gone = func(time.Duration) int { return 0 }
	}
	s.tick()
	for workspace := range workspaceCount {
		s.arrive(workspace)
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		if next.at > simulated {
			break
		}
		s.now = next.at
		next.run()
	}

	return &s.result
}

// tick takes a snapshot and gives each host one that is older by its delay, unless the message is lost.
func (s *simulation) tick() {
	present := s.upstreams - s.gone(s.now)
	snap := snapshot{at: s.now, running: make([]int, present), slots: present * slotsPerUpstream, starts: s.starts.PerSecond(clock(s.now))}
	for workspace, running := range s.running {
		if s.singleWorkspace && workspace > 0 {
			snap.workspaces[0].Used += float64(running)

			continue
		}
		snap.workspaces = append(snap.workspaces, fairshare.Load{Workspace: s.workspaceName(workspace), Used: float64(running)})
	}
	for i := range present {
		snap.running[i] = s.engines[i].running + len(s.engines[i].queue)
		snap.total += snap.running[i]
		snap.free += max(0, slotsPerUpstream-snap.running[i])
	}
	s.history = append(s.history, snap)
	s.result.occupancy = append(s.result.occupancy, float64(snap.total)/float64(max(1, snap.slots)))
	for host := range s.hosts {
		age := int((s.minDelay + time.Duration(s.random.Int64N(int64(s.maxDelay-s.minDelay)))) / viewInterval)
		seen := &s.history[max(0, len(s.history)-1-age)]
		if s.random.Float64() >= lostShare && (s.views[host] == nil || seen.at > s.views[host].at) || s.views[host] == nil {
			s.views[host] = seen
		}
	}
	s.after(viewInterval, s.tick)
}

func clock(at time.Duration) time.Time { return time.Unix(0, int64(at)) }

// arrive schedules the arrivals of a workspace's programs.
func (s *simulation) arrive(workspace int) {
	perSecond := baseOccupancy * float64(s.upstreams*slotsPerUpstream) / (turnsPerProgram * meanTurn.Seconds()) / workspaceCount
	rate := perSecond * s.demand(s.now, workspace)
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		turns := 1 + s.random.IntN(maxTurns)
		ideal := time.Duration(turns)*meanTurn + time.Duration(turns-1)*meanTool
		p := &program{workspace: workspace, turnsLeft: turns, arrivedAt: s.now, turn: meanTurn, tool: meanTool}
		p.deadline = s.now + time.Duration(deadlineFactor*float64(ideal)) + deadlineSlack
		if s.random.Float64() < s.lowPriorityShare {
			p.priority = 2
		}
		if s.isMeasured(p) {
			s.result.byWorkspace[workspace].arrived++
			s.result.byPriority[p.priority].arrived++
		}
		s.start(p)
		s.arrive(workspace)
	})
}

// isMeasured reports whether a program arrives in the measured period, and its deadline is in the simulated time.
func (s *simulation) isMeasured(p *program) bool {
	return p.arrivedAt > measuredFrom && p.deadline < simulated
}

// start sends a program's first turn to a random host, which admits or refuses it.
func (s *simulation) start(p *program) {
	host := s.random.IntN(s.hosts)
	s.starts.Add(clock(s.now))
	s.classes[host].Add(clock(s.now), p.priority)
	view := s.views[host]
	decision := overload.Decision{Admit: true}
	if s.enabled {
		decision = overload.Decide(s.overloadView(view), s.workspaceName(p.workspace), s.classes[host].Shares(clock(s.now), p.priority), s.random.Float64())
	}
	if s.isMeasured(p) {
		s.result.byWorkspace[p.workspace].attempts++
		s.result.byPriority[p.priority].attempts++
	}
	if decision.Admit {
		s.result.admitted[int(s.now/admittedWindow)]++
		s.runTurn(p, view)

		return
	}
	s.countRefusal(p)
	if decision.RetryAfter < (p.deadline-s.now)/3 {
		s.after(decision.RetryAfter, func() { s.start(p) })
	}
}

func (s *simulation) overloadView(seen *snapshot) overload.View {
	return overload.View{
		Slots: seen.slots, Running: seen.total, Free: seen.free, StartsPerSecond: seen.starts, Age: s.now - seen.at, Workspaces: seen.workspaces,
	}
}

func (s *simulation) workspaceName(workspace int) id.Workspace {
	if s.singleWorkspace {
		workspace = 0
	}

	return id.Workspace(rune('a' + workspace))
}

// countRefusal counts a refusal, and whether slots were free for all programs that arrived during the delay of the views.
func (s *simulation) countRefusal(p *program) {
	s.result.refused++
	if s.isMeasured(p) {
		s.result.byWorkspace[p.workspace].refused++
		s.result.byPriority[p.priority].refused++
	}
	window := s.maxDelay + 2*viewInterval
	oldest := max(0, len(s.history)-1-int(window/viewInterval))
	for _, snap := range s.history[oldest:] {
		if float64(snap.free) <= snap.starts*window.Seconds() {
			return
		}
	}
	s.result.refusedWhileFree++
}

// runTurn sends a turn to the upstream with the least load of three random ones, as the view shows them.
func (s *simulation) runTurn(p *program, view *snapshot) {
	best := s.random.IntN(len(view.running))
	for range 2 {
		if other := s.random.IntN(len(view.running)); view.running[other] < view.running[best] {
			best = other
		}
	}
	p.upstream = best
	s.running[p.workspace]++
	engine := &s.engines[best]
	if engine.running < slotsPerUpstream {
		s.serve(p)
	} else {
		engine.queue = append(engine.queue, p)
	}
}

func (s *simulation) serve(p *program) {
	s.engines[p.upstream].running++
	s.after(time.Duration(float64(p.turn)*(0.5+s.random.Float64())), func() { s.endTurn(p) })
}

func (s *simulation) endTurn(p *program) {
	engine := &s.engines[p.upstream]
	engine.running--
	s.running[p.workspace]--
	if len(engine.queue) > 0 {
		next := engine.queue[0]
		engine.queue = engine.queue[1:]
		s.serve(next)
	}
	if p.turnsLeft--; p.turnsLeft > 0 {
		s.after(s.exp(p.tool), func() { s.runTurn(p, s.views[s.random.IntN(s.hosts)]) })

		return
	}
	if s.isMeasured(p) && s.now <= p.deadline {
		s.result.byWorkspace[p.workspace].inTime++
		s.result.byPriority[p.priority].inTime++
	}
}
