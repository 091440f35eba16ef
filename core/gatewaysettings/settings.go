package gatewaysettings

import (
	"time"

	"cardamomward/core/id"
)

// Settings are the gateway's optional parts; its zero value disables all of them.
type Settings struct {
	Overload  Overload
	Placement Placement
	Memory    Memory
}

// Overload configures admission control under overload.
type Overload struct {
	// Enabled turns admission control and fair shares between workspaces on.
	Enabled bool
	// Weights holds the weights of workspaces in fair shares; a workspace that is not listed has weight 1.
	Weights map[id.Workspace]float64
}

// Placement configures the choice of upstreams and hosts.
type Placement struct {
	// LearnedCost chooses upstreams by the learned cost of requests and the work left at each upstream.
	LearnedCost bool
	// FailureDomainCost is the cost of an upstream in another failure domain than the host's.
	FailureDomainCost time.Duration
	// LocalDirectory makes the directory prefer hosts in the caller's failure domain.
	LocalDirectory bool
}

// Memory configures the bytes that a host holds for callers and upstreams.
type Memory struct {
	// BudgetShare is the share of the host's memory for held bytes, from 0 (no budget) to 0.8.
	BudgetShare float64
}
