package settings

import (
	"time"

	"cardamomward/core/id"
)

// Names of keys that validation and inheritance refer to.
const (
	keyOpenRoutes      = "open-routes"
	keyWorkspaces      = "workspaces"
	keyServices        = "services"
	keyParent          = "parent"
	keyUpstreams       = "upstreams"
	keyBudget          = "budget"
	keyRate            = "rate"
	keyBurst           = "burst"
	keyKind            = "kind"
	keyModel           = "model"
	keyTimeout         = "timeout"
	keyProgressTimeout = "progress-timeout"
	keyMaxTokens       = "max-tokens"
	keyName            = "name"
	keyAddress         = "address"
)

// fleetKeys are the keys at the top level of a document.
var fleetKeys = []Key[Fleet]{
	{
		Spec: Spec{
			Name: keyOpenRoutes, Type: TypeRoutes, Default: "[/healthz, /v1/where]",
			Doc: "Routes of the callers' interface that need no key; an empty list opens none.",
		},
		Set: func(f *Fleet, v Value) { f.OpenRoutes = v.ItemTexts() },
	},
	{Spec: Spec{Name: keyWorkspaces, Type: TypeTree, Doc: "Workspaces by name."}},
	{Spec: Spec{Name: keyServices, Type: TypeTree, Doc: "Services by name."}},
}

var workspaceKeys = []Key[Workspace]{
	{Spec: Spec{Name: keyParent, Type: TypeName, Doc: "Workspace to inherit from, in place of nesting."}},
	{
		Spec: Spec{
			Name: keyRate, Type: TypeRate, Default: "10/s", Min: "1/h", Max: "1000000/s", Inherited: true,
			Doc: "Requests over time that all hosts together admit.",
		},
		Set: func(w *Workspace, v Value) { w.Rate = Rate(v.Amount) },
	},
	{
		Spec: Spec{
			Name: keyBurst, Type: TypeCount, Default: "20", Min: "2", Max: "10000000", Inherited: true,
			Doc: "Requests above the rate that all hosts together admit at once; at least what the rate admits in 40ms, so that hosts can share it.",
		},
		Set: func(w *Workspace, v Value) { w.Burst = int64(v.Amount) },
	},
	{
		Spec: Spec{
			Name: keyBudget, Type: TypeTokens, Default: "100k tokens", Min: "1 tokens", Max: "1000M tokens", Inherited: true,
			Doc: "Tokens that a program may use with its sub-agents; at least `max-tokens` of each engine service.",
		},
		Set: func(w *Workspace, v Value) { w.Budget = id.Tokens(v.Amount) },
	},
	{
		Spec: Spec{
			Name: "weight", Type: TypeNumber, Default: "1", Min: "0.01", Max: "100", Inherited: true,
			Doc: "Share of the engines relative to other workspaces.",
		},
		Set: func(w *Workspace, v Value) { w.Weight = v.Amount },
	},
	{
		Spec: Spec{
			Name: "priority", Type: TypeChoice, Default: string(PriorityRoutine),
			Choices: []string{string(PriorityRoutine), string(PriorityUrgent)}, Inherited: true,
			Doc: "Class of urgency of the workspace's calls; routine work does not block urgent work.",
		},
		Set: func(w *Workspace, v Value) { w.Priority = Priority(v.Text) },
	},
	{
		Spec: Spec{
			Name: "program-lease", Type: TypeDuration, Default: "10m", Min: "1s", Max: "168h", Inherited: true,
			Doc: "How long a program lives without a call.",
		},
		Set: func(w *Workspace, v Value) { w.ProgramLease = v.Duration() },
	},
	{
		Spec: Spec{
			Name: keyServices, Type: TypeNames, Inherited: true,
			Doc: "Services that the workspace's programs may use; each needs upstreams. A list replaces the parent's list.",
		},
		Set: func(w *Workspace, v Value) { w.Services = itemsAs[id.Service](v) },
	},
	{Spec: Spec{Name: keyWorkspaces, Type: TypeTree, Doc: "Workspaces that inherit from this one, by name."}},
}

var serviceKeys = []Key[Service]{
	{Spec: Spec{Name: keyParent, Type: TypeName, Doc: "Service to inherit from, in place of nesting."}},
	{
		Spec: Spec{
			Name: keyKind, Type: TypeChoice, Choices: []string{string(KindEngine), string(KindPlain)}, Inherited: true,
			Doc: "What the upstreams are: model engines or plain services; needed where there are upstreams.",
		},
		Set: func(s *Service, v Value) { s.Kind = Kind(v.Text) },
	},
	{
		Spec: Spec{
			Name: keyModel, Type: TypeText, Inherited: true, Kind: KindEngine,
			Doc: "Model that the engines serve; needed where engines are upstreams.",
		},
		Set: func(s *Service, v Value) { s.Model = id.Model(v.Text) },
	},
	{
		Spec: Spec{
			Name: "idempotent", Type: TypeFlag, Default: "false", Inherited: true, Kind: KindPlain,
			Doc: "Whether the same call may be sent again.",
		},
		Set: func(s *Service, v Value) { s.Idempotent = v.Flag },
	},
	{
		Spec: Spec{
			Name: "knows-outcomes", Type: TypeFlag, Default: "false", Inherited: true, Kind: KindPlain,
			Doc: "Whether the service can be asked what became of an idempotency key.",
		},
		Set: func(s *Service, v Value) { s.KnowsOutcomes = v.Flag },
	},
	{
		Spec: Spec{
			Name: "checks-fence", Type: TypeFlag, Default: "false", Inherited: true,
			Doc: "Whether the upstreams refuse orders with an old fencing number.",
		},
		Set: func(s *Service, v Value) { s.ChecksFence = v.Flag },
	},
	{
		Spec: Spec{
			Name: keyTimeout, Type: TypeDuration, Default: "1m", Min: "10ms", Max: "24h", Inherited: true,
			Doc: "Longest time that a whole call may take.",
		},
		Set: func(s *Service, v Value) { s.Timeout = v.Duration() },
	},
	{
		Spec: Spec{
			Name: keyProgressTimeout, Type: TypeDuration, Default: "5s", Min: "10ms", Max: "1h", Inherited: true, Kind: KindEngine,
			Doc: "Longest silence that a stream may have; not above `timeout`, which also bounds the default.",
		},
		Set: func(s *Service, v Value) { s.ProgressTimeout = v.Duration() },
	},
	{
		Spec: Spec{
			Name: keyMaxTokens, Type: TypeTokens, Default: "1024 tokens", Min: "1 tokens", Max: "10M tokens", Inherited: true,
			Kind: KindEngine, Doc: "Longest answer of a call.",
		},
		Set: func(s *Service, v Value) { s.MaxTokens = id.Tokens(v.Amount) },
	},
	{
		Spec: Spec{Name: keyUpstreams, Type: TypeUpstreams, Doc: "Upstreams of the service."},
		Set:  func(s *Service, v Value) { s.Upstreams = v.upstreams },
	},
	{Spec: Spec{Name: keyServices, Type: TypeTree, Doc: "Services that inherit from this one, by name."}},
}

var upstreamKeys = []Key[Upstream]{
	{
		Spec: Spec{Name: keyName, Type: TypeName, Required: true, Doc: "Name of the upstream, used once in the document."},
		Set:  func(u *Upstream, v Value) { u.ID = id.Upstream(v.Text) },
	},
	{
		Spec: Spec{Name: keyAddress, Type: TypeAddress, Required: true, Doc: "IP number and port, used once in the document."},
		Set:  func(u *Upstream, v Value) { u.Address = v.Text },
	},
	{
		Spec: Spec{Name: "failure-domain", Type: TypeName, Required: true, Doc: "Failure domain of the upstream."},
		Set:  func(u *Upstream, v Value) { u.FailureDomain = id.FailureDomain(v.Text) },
	},
	{
		Spec: Spec{Name: "leaving", Type: TypeFlag, Default: "false", Doc: "Whether the upstream gets no new work."},
		Set:  func(u *Upstream, v Value) { u.Leaving = v.Flag },
	},
}

// Duration returns the amount of a TypeDuration value.
func (v Value) Duration() time.Duration { return time.Duration(v.Amount) }

// itemsAs returns the items of a list converted to a string type.
func itemsAs[Name ~string](v Value) []Name {
	names := make([]Name, len(v.Items))
	for i, item := range v.Items {
		names[i] = Name(item.Text)
	}

	return names
}
