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

// workspaceClient sends the requests of the programs of one workspace, with an API key issued for the run.
type workspaceClient struct {
	settings      *settings.Workspace
	model         id.Model
	generate      simulation.AgentGenerator
	keyID         id.APIKey
	client        caller.Client
	rateAllowance rateAllowance
	// unloadedCallTime is the mean duration of a call on an idle cluster.
	unloadedCallTime time.Duration
}

// requestTimeout bounds one request.
const requestTimeout = 2 * time.Minute

// maxIdleConnsPerHost bounds the idle connections to each host.
const maxIdleConnsPerHost = 256

// prepareWorkspaces issues an API key for each workspace that may use a model. After an error it returns the workspaces
// whose keys were issued, so that the keys can be withdrawn.
func prepareWorkspaces(ctx context.Context, opts *LoadOptions) ([]*workspaceClient, error) {
	published, err := opts.OperatorClient().GetSettings(ctx)
	if err != nil {
		return nil, err
	}
	fleet, findings := settings.Parse("settings", []byte(published.Document))
	if len(findings) > 0 {
		return nil, cmdutil.NewUsageError("the published settings are invalid: %v", findings)
	}
	status, err := opts.OperatorClient().GetClusterStatus(ctx)
	if err != nil {
		return nil, err
	}
	if len(status.Hosts) == 0 {
		return nil, cmdutil.NewUsageError("the host at --operator reports no hosts; start hosts first")
	}
	httpClient := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	generators := []simulation.AgentGenerator{simulation.GenerateDraft, simulation.GenerateWalkthrough, simulation.GenerateRepairPlan, simulation.GenerateConversation}
	var workspaces []*workspaceClient
	for _, w := range fleet.SortedWorkspaces() {
		model, ok := findEngineModel(fleet, w)
		if !ok {
			continue
		}
		issued, err := opts.OperatorClient().IssueKey(ctx, w.ID)
		if err != nil {
			return workspaces, err
		}
		client := &workspaceClient{
			settings: w, model: model, keyID: issued.Key, generate: generators[len(workspaces)%len(generators)],
			client:        caller.Client{Address: status.Hosts[len(workspaces)%len(status.Hosts)].CallerAddress, APIKey: issued.BearerToken, HTTPClient: httpClient},
			rateAllowance: rateAllowance{rate: float64(w.Rate), burst: float64(w.Burst)},
		}
		if w.Priority == settings.PriorityUrgent {
			client.generate = simulation.GenerateFault
		}
		workspaces = append(workspaces, client)
	}
	if len(workspaces) == 0 {
		return nil, cmdutil.NewUsageError("no workspace of the settings may use a service of kind engine")
	}

	return workspaces, nil
}

func findEngineModel(fleet *settings.Fleet, w *settings.Workspace) (id.Model, bool) {
	for _, name := range w.Services {
		if svc, ok := fleet.Services[name]; ok && svc.Kind == settings.KindEngine && len(svc.Upstreams) > 0 {
			return svc.Model, true
		}
	}

	return "", false
}

// rateAllowance is a token bucket with a workspace's rate and burst, which tells whether a request is within them; refused
// requests are not counted.
type rateAllowance struct {
	rate  float64
	burst float64

	mu     sync.Mutex
	bucket ratelimit.Bucket
}

// tryAcquire takes one request from the allowance and reports whether it was within the rate.
func (a *rateAllowance) tryAcquire(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acquired, _ := a.bucket.Take(now, a.rate, a.burst, 1)

	return acquired > 0
}

// refund returns a refused request to the allowance.
func (a *rateAllowance) refund(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket = ratelimit.NewWithLevel(now, min(a.burst, a.bucket.Level()+1))
}
