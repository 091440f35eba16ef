package replay

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

// Tenant is a workspace's demand.
type Tenant struct {
	Workspace id.Workspace
	Urgent    bool
	// Part is the workspace's part of the offered load at its own rate.
	Part   float64
	Shape  Shape
	Manual id.Tokens
	// Flood multiplies the workspace's demand during the surge.
	Flood float64
}

// Scenario is a seeded run of programs on a fleet.
type Scenario struct {
	Name    string
	User    string
	Config  Config
	Tenants []Tenant
	// Base and Surge are the offered load with a perfect cache, as parts of the engines' capacity.
	Base  float64
	Surge float64
	// Length is how long programs arrive; the surge takes its middle third.
	Length time.Duration
}

// Programs draws the scenario's programs; the same seed draws the same ones.
func (s Scenario) Programs() []Program {
	var programs []Program
	for i, tenant := range s.Tenants {
		r := rand.New(rand.NewPCG(s.Config.Seed, uint64(i)+100))
		programs = append(programs, s.tenant(r, tenant)...)
	}
	slices.SortStableFunc(programs, func(a, b Program) int { return cmp.Compare(a.Arrive, b.Arrive) })

	return programs
}

func (s Scenario) tenant(r *rand.Rand, tenant Tenant) []Program {
	const sampled = 200
	var mean float64
	for range sampled {
		mean += s.Config.Model.work(tenant.Shape(r)) / sampled
	}
	manual := prompt.PrefixHash(xxhash.Sum64String(string(tenant.Workspace)))
	var programs []Program
	var now time.Duration
	for {
		load, flood := s.Base, 1.0
		if now > s.Length/3 && now < 2*s.Length/3 {
			load, flood = s.Surge, max(1, tenant.Flood)
		}
		rate := load * flood * tenant.Part * float64(s.Config.Engines) / mean
		now += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if now > s.Length {
			return programs
		}
		programs = append(programs, Program{
			ID:        id.Program(fmt.Sprintf("%s-%d", tenant.Workspace, len(programs))),
			Workspace: tenant.Workspace, Urgent: tenant.Urgent, Arrive: now,
			Manual: manual, ManualTokens: tenant.Manual, Agent: tenant.Shape(r),
		})
	}
}

// model is the engine of all scenarios: 16 calls at a time, 8000 prompt tokens a second.
func model() EngineModel {
	return EngineModel{Slots: 16, Prefill: 8000, Interval: 20 * time.Millisecond, Growth: 1, Cache: 120_000}
}

func config(seed uint64, hosts, engines, domains int) Config {
	return Config{
		Seed: seed, Hosts: hosts, Engines: engines, Domains: domains, Model: model(),
		ReportEvery: 500 * time.Millisecond, ReportLag: 300 * time.Millisecond,
		EventLag: 500 * time.Millisecond, EventLoss: 0.01, Timeout: time.Minute,
	}
}

// authority is the Authority's demand: desk drafts and walks through manuals.
func authority() []Tenant {
	return []Tenant{
		{Workspace: "exhibitor-desk", Part: 0.20, Shape: Draft, Manual: 6000},
		{Workspace: "stand-rules", Part: 0.15, Shape: Draft, Manual: 6000},
		{Workspace: "tea-fair", Part: 0.15, Shape: Walk, Manual: 8000},
		{Workspace: "gem-fair", Part: 0.15, Shape: Walk, Manual: 8000},
		{Workspace: "book-fair", Part: 0.10, Shape: Walk, Manual: 8000},
		{Workspace: "build-fair", Part: 0.10, Shape: Draft, Manual: 5000},
		{Workspace: "badges", Part: 0.10, Shape: Draft, Manual: 3000},
		{Workspace: "fees", Part: 0.05, Shape: Draft, Manual: 3000},
	}
}

// nyabugogo is Nyabugogo's demand: repair plans, long conversations and urgent faults.
func nyabugogo() []Tenant {
	return []Tenant{
		{Workspace: "north-line", Part: 0.20, Shape: Repair, Manual: 4000},
		{Workspace: "south-line", Part: 0.15, Shape: Repair, Manual: 4000},
		{Workspace: "lake-line", Part: 0.10, Shape: Repair, Manual: 4000},
		{Workspace: "dispatch-day", Part: 0.20, Shape: Conversation, Manual: 3000},
		{Workspace: "dispatch-night", Part: 0.10, Shape: Conversation, Manual: 3000},
		{Workspace: "ticketing", Part: 0.10, Shape: Draft, Manual: 2000},
		{Workspace: "parts", Part: 0.10, Shape: Draft, Manual: 2000},
		{Workspace: "callbox-faults", Part: 0.05, Shape: Fault, Manual: 2000, Urgent: true},
	}
}

// Scenarios returns the scenarios for a seed.
func Scenarios(seed uint64) []Scenario {
	const length = 15 * time.Minute
	lk := Scenario{User: "Authority", Config: config(seed, 10, 12, 3), Tenants: authority(), Base: 0.6, Surge: 1.3, Length: length}
	rw := Scenario{User: "Nyabugogo", Config: config(seed, 12, 11, 4), Tenants: nyabugogo(), Base: 0.6, Surge: 1.3, Length: length}
	steady := func(s Scenario, load float64) Scenario {
		s.Base, s.Surge = load, load

		return s
	}
	named := func(name string, s Scenario, change func(*Scenario)) Scenario {
		s.Name = name
		s.Tenants = slices.Clone(s.Tenants)
		if change != nil {
			change(&s)
		}

		return s
	}

	return []Scenario{
		named("lunch-hour surge", lk, nil),
		named("lunch-hour surge, roadline", rw, nil),
		named("one workspace at six times its rate", steady(rw, 0.7), func(s *Scenario) { s.Tenants[1].Flood = 6 }),
		named("long conversations among short drafts", steady(rw, 0.9), func(s *Scenario) {
			s.Tenants = []Tenant{
				{Workspace: "dispatch-day", Part: 0.5, Shape: Conversation, Manual: 3000},
				{Workspace: "ticketing", Part: 0.25, Shape: Draft, Manual: 2000},
				{Workspace: "parts", Part: 0.25, Shape: Draft, Manual: 2000},
			}
		}),
		named("chapter-by-chapter walks", steady(lk, 0.8), func(s *Scenario) {
			s.Tenants = []Tenant{
				{Workspace: "tea-fair", Part: 0.4, Shape: Walk, Manual: 8000},
				{Workspace: "gem-fair", Part: 0.3, Shape: Walk, Manual: 8000},
				{Workspace: "book-fair", Part: 0.3, Shape: Walk, Manual: 8000},
			}
		}),
		named("urgent faults amid a full queue", steady(rw, 1.3), nil),
		named("an engine lost mid-surge", lk, func(s *Scenario) { s.Config.EngineLostAt = length / 2 }),
		named("a host lost", steady(lk, 0.8), func(s *Scenario) { s.Config.HostLostAt = length / 2 }),
		named("cache events stopped for a minute", steady(lk, 0.8), func(s *Scenario) {
			s.Config.EventsStopAt, s.Config.EventsStopFor = length/3, time.Minute
		}),
		named("load reports five seconds old", lk, func(s *Scenario) { s.Config.ReportLag = 5 * time.Second }),
	}
}

// Flooders returns the workspaces that send more than their rate.
func (s Scenario) Flooders() []id.Workspace {
	var flooders []id.Workspace
	for _, tenant := range s.Tenants {
		if tenant.Flood > 1 {
			flooders = append(flooders, tenant.Workspace)
		}
	}

	return flooders
}
