package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// WorkspaceLoad describes the programs of a workspace.
type WorkspaceLoad struct {
	Workspace id.Workspace
	Urgent    bool
	// LoadShare is the workspace's share of the offered load without its OverloadFactor.
	LoadShare float64
	// Generate draws the turns of a program.
	Generate AgentGenerator
	// SharedPrefixTokens is the length of the prompt prefix that all programs of the workspace share.
	SharedPrefixTokens id.Tokens
	// OverloadFactor multiplies the workspace's load during the surge if it is above 1.
	OverloadFactor float64
}

// Scenario is a seeded load of programs on a fleet.
type Scenario struct {
	Name string
	// Organization is the customer whose fleet and workspaces the scenario models.
	Organization string
	Config       Config
	Workspaces   []WorkspaceLoad
	// BaseLoad and SurgeLoad are the offered load with a perfect cache, as fractions of the engines' capacity.
	BaseLoad  float64
	SurgeLoad float64
	// ArrivalDuration is the time in which programs arrive; the surge is its middle third.
	ArrivalDuration time.Duration
}

// GeneratePrograms draws the scenario's programs, ordered by arrival; the seed determines them.
func (s Scenario) GeneratePrograms() []Program {
	var programs []Program
	for i, workload := range s.Workspaces {
		rng := rand.New(rand.NewPCG(s.Config.Seed, uint64(i)+100))
		programs = append(programs, s.generateForWorkspace(rng, workload)...)
	}
	slices.SortStableFunc(programs, func(a, b Program) int { return cmp.Compare(a.ArrivalOffset, b.ArrivalOffset) })

	return programs
}

func (s Scenario) generateForWorkspace(rng *rand.Rand, workload WorkspaceLoad) []Program {
	const sampleCount = 200
	var meanEngineSeconds float64
	for range sampleCount {
		meanEngineSeconds += s.Config.EngineModel.engineSeconds(workload.Generate(rng)) / sampleCount
	}
	sharedPrefix := prompt.PrefixHash(xxhash.Sum64String(string(workload.Workspace)))
	var programs []Program
	var arrival time.Duration
	for {
		load, overload := s.BaseLoad, 1.0
		if arrival > s.ArrivalDuration/3 && arrival < 2*s.ArrivalDuration/3 {
			load, overload = s.SurgeLoad, max(1, workload.OverloadFactor)
		}
		programsPerSecond := load * overload * workload.LoadShare * float64(s.Config.Engines) / meanEngineSeconds
		arrival += time.Duration(rng.ExpFloat64() / programsPerSecond * float64(time.Second))
		if arrival > s.ArrivalDuration {
			return programs
		}
		programs = append(programs, Program{
			ID:        id.Program(fmt.Sprintf("%s-%d", workload.Workspace, len(programs))),
			Workspace: workload.Workspace, Urgent: workload.Urgent, ArrivalOffset: arrival,
			SharedPrefix: sharedPrefix, SharedPrefixTokens: workload.SharedPrefixTokens, Agent: workload.Generate(rng),
		})
	}
}

// defaultEngineModel returns the engine model of all scenarios: 16 calls at a time, 8000 prompt tokens a second.
func defaultEngineModel() EngineModel {
	return EngineModel{MaxConcurrentCalls: 16, PrefillTokensPerSecond: 8000, TokenInterval: 20 * time.Millisecond, BatchSlowdown: 1, CacheTokens: 120_000}
}

func defaultConfig(seed uint64, hosts, engines, domains int) Config {
	return Config{
		Seed: seed, Hosts: hosts, Engines: engines, FailureDomains: domains, EngineModel: defaultEngineModel(),
		ReportInterval: 500 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		EventLag: 500 * time.Millisecond, EventLossRate: 0.01, CallTimeout: time.Minute,
	}
}

// authorityWorkspaces returns the loads of the customer Authority: drafts and walkthroughs of manuals.
func authorityWorkspaces() []WorkspaceLoad {
	return []WorkspaceLoad{
		{Workspace: "exhibitor-desk", LoadShare: 0.20, Generate: GenerateDraft, SharedPrefixTokens: 6000},
		{Workspace: "stand-rules", LoadShare: 0.15, Generate: GenerateDraft, SharedPrefixTokens: 6000},
		{Workspace: "tea-fair", LoadShare: 0.15, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
		{Workspace: "gem-fair", LoadShare: 0.15, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
		{Workspace: "book-fair", LoadShare: 0.10, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
		{Workspace: "build-fair", LoadShare: 0.10, Generate: GenerateDraft, SharedPrefixTokens: 5000},
		{Workspace: "badges", LoadShare: 0.10, Generate: GenerateDraft, SharedPrefixTokens: 3000},
		{Workspace: "fees", LoadShare: 0.05, Generate: GenerateDraft, SharedPrefixTokens: 3000},
	}
}

// nyabugogoWorkspaces returns the loads of the customer Nyabugogo: repair plans, long conversations and urgent faults.
func nyabugogoWorkspaces() []WorkspaceLoad {
	return []WorkspaceLoad{
		{Workspace: "north-line", LoadShare: 0.20, Generate: GenerateRepairPlan, SharedPrefixTokens: 4000},
		{Workspace: "south-line", LoadShare: 0.15, Generate: GenerateRepairPlan, SharedPrefixTokens: 4000},
		{Workspace: "lake-line", LoadShare: 0.10, Generate: GenerateRepairPlan, SharedPrefixTokens: 4000},
		{Workspace: "dispatch-day", LoadShare: 0.20, Generate: GenerateConversation, SharedPrefixTokens: 3000},
		{Workspace: "dispatch-night", LoadShare: 0.10, Generate: GenerateConversation, SharedPrefixTokens: 3000},
		{Workspace: "ticketing", LoadShare: 0.10, Generate: GenerateDraft, SharedPrefixTokens: 2000},
		{Workspace: "parts", LoadShare: 0.10, Generate: GenerateDraft, SharedPrefixTokens: 2000},
		{Workspace: "callbox-faults", LoadShare: 0.05, Generate: GenerateFault, SharedPrefixTokens: 2000, Urgent: true},
	}
}

// Scenarios returns all scenarios for a seed.
func Scenarios(seed uint64) []Scenario {
	const arrivalDuration = 15 * time.Minute
	authorityBase := Scenario{Organization: "Authority", Config: defaultConfig(seed, 10, 12, 3), Workspaces: authorityWorkspaces(), BaseLoad: 0.6, SurgeLoad: 1.3, ArrivalDuration: arrivalDuration}
	nyabugogoBase := Scenario{Organization: "Nyabugogo", Config: defaultConfig(seed, 12, 11, 4), Workspaces: nyabugogoWorkspaces(), BaseLoad: 0.6, SurgeLoad: 1.3, ArrivalDuration: arrivalDuration}
	withSteadyLoad := func(s Scenario, load float64) Scenario {
		s.BaseLoad, s.SurgeLoad = load, load

		return s
	}
	newVariant := func(name string, s Scenario, change func(*Scenario)) Scenario {
		s.Name = name
		s.Workspaces = slices.Clone(s.Workspaces)
		if change != nil {
			change(&s)
		}

		return s
	}

	return []Scenario{
		newVariant("lunch-hour surge", authorityBase, nil),
		newVariant("lunch-hour surge, roadline", nyabugogoBase, nil),
		newVariant("one workspace at six times its rate", withSteadyLoad(nyabugogoBase, 0.7), func(s *Scenario) { s.Workspaces[1].OverloadFactor = 6 }),
		newVariant("long conversations among short drafts", withSteadyLoad(nyabugogoBase, 0.9), func(s *Scenario) {
			s.Workspaces = []WorkspaceLoad{
				{Workspace: "dispatch-day", LoadShare: 0.5, Generate: GenerateConversation, SharedPrefixTokens: 3000},
				{Workspace: "ticketing", LoadShare: 0.25, Generate: GenerateDraft, SharedPrefixTokens: 2000},
				{Workspace: "parts", LoadShare: 0.25, Generate: GenerateDraft, SharedPrefixTokens: 2000},
			}
		}),
		newVariant("chapter-by-chapter walks", withSteadyLoad(authorityBase, 0.8), func(s *Scenario) {
			s.Workspaces = []WorkspaceLoad{
				{Workspace: "tea-fair", LoadShare: 0.4, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
				{Workspace: "gem-fair", LoadShare: 0.3, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
				{Workspace: "book-fair", LoadShare: 0.3, Generate: GenerateWalkthrough, SharedPrefixTokens: 8000},
			}
		}),
		newVariant("urgent faults amid a full queue", withSteadyLoad(nyabugogoBase, 1.3), nil),
		newVariant("an engine lost mid-surge", authorityBase, func(s *Scenario) { s.Config.EngineFailureAt = arrivalDuration / 2 }),
		newVariant("a host lost", withSteadyLoad(authorityBase, 0.8), func(s *Scenario) { s.Config.HostFailureAt = arrivalDuration / 2 }),
		newVariant("cache events stopped for a minute", withSteadyLoad(authorityBase, 0.8), func(s *Scenario) {
			s.Config.EventOutageStart, s.Config.EventOutageDuration = arrivalDuration/3, time.Minute
		}),
		newVariant("load reports five seconds old", authorityBase, func(s *Scenario) { s.Config.ReportLag = 5 * time.Second }),
	}
}

// OverloadingWorkspaces returns the workspaces with an OverloadFactor above 1.
func (s Scenario) OverloadingWorkspaces() []id.Workspace {
	var overloading []id.Workspace
	for _, workload := range s.Workspaces {
		if workload.OverloadFactor > 1 {
			overloading = append(overloading, workload.Workspace)
		}
	}

	return overloading
}
