package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cardamomward/command/cmdutil"
	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/settings"
	"cardamomward/core/simulation"
	"cardamomward/io/caller"
)

// tenant is a workspace that programs run for.
type tenant struct {
	workspace *settings.Workspace
	model     id.Model
	shape     simulation.AgentGenerator
	key       id.APIKey
	client    caller.Client
	// entitled tells whether the workspace's requests are within its rate and burst.
	entitled entitlement
	// alone is how long a call takes while nothing else runs.
	alone time.Duration
}

// answerTimeout bounds one request of the load.
const answerTimeout = 2 * time.Minute

// connections bounds the idle connections kept to each host.
const connections = 256

// prepare issues a key for each workspace that has a model; the tenants are returned with an error too.
func prepare(ctx context.Context, opts *LoadOptions) ([]*tenant, error) {
	published, err := opts.Client().Settings(ctx)
	if err != nil {
		return nil, err
	}
	fleet, findings := settings.Parse("settings", []byte(published.Document))
	if len(findings) > 0 {
		return nil, cmdutil.Usage("the fleet's settings have findings: %v", findings)
	}
	status, err := opts.Client().Status(ctx)
	if err != nil {
		return nil, err
	}
	if len(status.Hosts) == 0 {
		return nil, cmdutil.Usage("the fleet lists no host")
	}
	shared := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	shapes := []simulation.AgentGenerator{simulation.GenerateDraft, simulation.GenerateWalkthrough, simulation.GenerateRepairPlan, simulation.GenerateConversation}
	var tenants []*tenant
	for _, w := range fleet.SortedWorkspaces() {
		model, ok := modelOf(fleet, w)
		if !ok {
			continue
		}
		issued, err := opts.Client().IssueKey(ctx, w.ID)
		if err != nil {
			return tenants, err
		}
		t := &tenant{
			workspace: w, model: model, key: issued.Key, shape: shapes[len(tenants)%len(shapes)],
			client:   caller.Client{Address: status.Hosts[len(tenants)%len(status.Hosts)].Caller, APIKey: issued.Bearer, HTTPClient: shared},
			entitled: entitlement{rate: float64(w.Rate), burst: float64(w.Burst)},
		}
		if w.Priority == settings.PriorityUrgent {
			t.shape = simulation.GenerateFault
		}
		tenants = append(tenants, t)
	}
	if len(tenants) == 0 {
		return nil, cmdutil.Usage("no workspace of the settings may use a service of kind engine")
	}

	return tenants, nil
}

func modelOf(fleet *settings.Fleet, w *settings.Workspace) (id.Model, bool) {
	for _, name := range w.Services {
		if svc, ok := fleet.Services[name]; ok && svc.Kind == settings.KindEngine && len(svc.Upstreams) > 0 {
			return svc.Model, true
		}
	}

	return "", false
}

// entitlement counts a workspace's requests against its rate and burst; refused ones do not count.
type entitlement struct {
	rate  float64
	burst float64

	mu     sync.Mutex
	bucket ratelimit.Bucket
}

// take reports whether one more request is within the rate.
func (e *entitlement) take(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken, _ := e.bucket.Take(now, e.rate, e.burst, 1)

	return taken > 0
}

// giveBack takes a refused request off the count.
func (e *entitlement) giveBack(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bucket = ratelimit.NewWithLevel(now, min(e.burst, e.bucket.Level()+1))
}
