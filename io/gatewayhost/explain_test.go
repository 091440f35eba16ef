package gatewayhost_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/gatewayhost"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const operatorToken = "operator-secret"

// postExplain sends a body to the operator endpoint of a host and returns the response's status and body.
func (c *testCluster) postExplain(authorization string, body []byte) (int, []byte) {
	c.t.Helper()
	url := fmt.Sprintf("http://127.0.0.1:%d%s", c.hosts["host-0"].instance.MetricsPort, gatewayhost.ExplainPath)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	require.NoError(c.t, err)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)

	return resp.StatusCode, data
}

func (c *testCluster) explain(query reverseproxy.PlacementQuery) reverseproxy.PlacementExplanation {
	c.t.Helper()
	body, err := json.Marshal(query)
	require.NoError(c.t, err)
	status, data := c.postExplain("Bearer "+operatorToken, body)
	require.Equal(c.t, http.StatusOK, status, string(data))
	var explanation reverseproxy.PlacementExplanation
	require.NoError(c.t, json.Unmarshal(data, &explanation))

	return explanation
}

// explainIdle explains a query once no request runs at the candidates.
func (c *testCluster) explainIdle(query reverseproxy.PlacementQuery) reverseproxy.PlacementExplanation {
	c.t.Helper()
	var explanation reverseproxy.PlacementExplanation
	require.Eventually(c.t, func() bool {
		explanation = c.explain(query)
		for _, candidate := range explanation.Candidates {
			if candidate.RunningRequests > 0 {
				return false
			}
		}

		return true
	}, waitTimeout, time.Millisecond)

	return explanation
}

// executingUpstreams returns the upstreams that have executed a request.
func (c *testCluster) executingUpstreams(request string) []id.Upstream {
	var upstreams []id.Upstream
	for _, upstream := range append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...) {
		for _, executed := range upstream.ExecutedRequests() {
			if executed.Header.Get("Request-Id") == request {
				upstreams = append(upstreams, id.Upstream(upstream.ID))
			}
		}
	}

	return upstreams
}

func newOperatorCluster(t *testing.T) *testCluster {
	t.Helper()

	return newTestCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) {
		c.servesMetrics, c.operatorToken = true, operatorToken
	})
}

func TestExplainedUpstreamGetsTheRequest(t *testing.T) {
	c := newOperatorCluster(t)
	chosen := map[id.Upstream]int{}
	for i := range 12 {
		program := fmt.Sprintf("explained-%d", i)
		query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/draft/x", Workspace: "clerks", Session: program, MaxTokens: 100}
		query.PromptParts = []reverseproxy.PromptPartQuery{{ID: "aa", Tokens: 400}, {ID: "bb", Tokens: 100}}
		call := standin.NewTurnRequest("/draft/x", "secret", program, "", "hello")
		if i%2 == 1 {
			query = reverseproxy.PlacementQuery{Host: "agents.example", Path: "/order/", AffinityKey: program}
			call = standin.CallerRequest{Path: "/order/", APIKey: "secret"}
		}
		explanation := c.explainIdle(query)
		require.Len(t, explanation.Candidates, 2)
		require.Empty(t, explanation.Excluded)
		// A request without a session has its id as its affinity key.
		response, err := call.Send(context.Background(), program, c.hosts["host-0"].settings.CallerAddress)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.Status)
		require.Equal(t, []id.Upstream{explanation.Chosen}, c.executingUpstreams(program))
		chosen[explanation.Chosen]++
	}
	require.Greater(t, len(chosen), 2, "the requests should not all go to one upstream of each service")
}

func TestRepeatedExplainsChangeNothing(t *testing.T) {
	c := newOperatorCluster(t)
	query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/draft/x", Session: "s", MaxTokens: 100}
	first := c.explainIdle(query)
	// The last bytes of an earlier response may be counted after its caller has received them.
	metrics := c.metrics("host-0")
	require.Eventually(t, func() bool {
		previous := metrics
		metrics = c.metrics("host-0")

		return metrics == previous
	}, waitTimeout, 50*time.Millisecond)
	for range 200 {
		explanation := c.explain(query)
		require.Equal(t, first.Chosen, explanation.Chosen)
		require.Len(t, explanation.Candidates, len(first.Candidates))
		for i, candidate := range explanation.Candidates {
			require.Equal(t, first.Candidates[i].Upstream, candidate.Upstream)
			require.Zero(t, candidate.RunningRequests)
			require.Zero(t, candidate.AdmissionDelayMS)
		}
	}
	require.Equal(t, metrics, c.metrics("host-0"), "a counter has changed")
}

func TestExplainNamesExclusions(t *testing.T) {
	c := newOperatorCluster(t)
	query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/draft/x", Session: "s"}
	c.engines[0].Register(c.store, "draining")
	require.Eventually(t, func() bool { return len(c.explain(query).Candidates) == 1 }, waitTimeout, 20*time.Millisecond)
	explanation := c.explain(query)
	require.Equal(t, []reverseproxy.ExcludedUpstream{{Upstream: "engine-0", Reason: reverseproxy.ExcludedDraining}}, explanation.Excluded)
	query.StreamVersion = "another"
	explanation = c.explain(query)
	require.Empty(t, explanation.Chosen)
	require.Equal(t, []reverseproxy.ExcludedUpstream{
		{Upstream: "engine-0", Reason: reverseproxy.ExcludedDraining}, {Upstream: "engine-1", Reason: reverseproxy.ExcludedVersion},
	}, explanation.Excluded)
	query.StreamVersion, query.Exclude = "", []id.Upstream{"engine-1"}
	require.Contains(t, c.explain(query).Excluded, reverseproxy.ExcludedUpstream{Upstream: "engine-1", Reason: reverseproxy.ExcludedByQuery})
}

func TestExplainIsRefusedWithoutOperatorToken(t *testing.T) {
	c := newOperatorCluster(t)
	query := []byte(`{"host": "agents.example", "path": "/draft/x"}`)
	for _, authorization := range []string{"", "Bearer ", "Bearer wrong", operatorToken, "Bearer secret", "Bearer " + operatorToken + "x"} {
		status, body := c.postExplain(authorization, query)
		require.Equal(t, http.StatusUnauthorized, status, authorization)
		require.NotContains(t, string(body), "engine-")
	}
	for body, want := range map[string]int{
		`{"host": "agents.example", "path": "/none/"}`: http.StatusNotFound,
		`{"route": "none"}`:                            http.StatusNotFound,
		`{"host": "agents.example", "path": "/draft/x", "workspace": "strangers"}`: http.StatusNotFound,
		`{"unknown": 1}`: http.StatusBadRequest,
	} {
		status, _ := c.postExplain("Bearer "+operatorToken, []byte(body))
		require.Equal(t, want, status, body)
	}
}

func TestExplainIsNotServedWithoutTokenFile(t *testing.T) {
	c := newTestCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) { c.servesMetrics = true })
	for _, authorization := range []string{"", "Bearer ", "Bearer " + operatorToken} {
		status, _ := c.postExplain(authorization, []byte(`{"host": "agents.example", "path": "/draft/x"}`))
		require.Equal(t, http.StatusNotFound, status)
	}
}

func TestExplainTakesNothingFromLimitsOfUpstreams(t *testing.T) {
	c := newOperatorCluster(t)
	query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/order/", AffinityKey: "k"}
	call := standin.CallerRequest{Path: "/order/", APIKey: "secret"}
	nameLimit(1, c.plainUpstreams...)
	c.doUntilStatus("host-0", call, http.StatusServiceUnavailable)
	c.doUntilStatus("host-0", call, http.StatusOK)
	require.Eventually(t, func() bool { return !c.explainIdle(query).LimitExhausted }, waitTimeout, 20*time.Millisecond)
	for range 100 {
		c.explain(query)
	}
	require.Equal(t, http.StatusOK, c.do("host-0", call).Status, "the explains have used up the limits")
}

// TestExplainShowsLearnedCosts guards against an explanation that ranks by other costs than requests do where costs are learned.
func TestExplainShowsLearnedCosts(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost, func(c *testCluster, _ *platform.HostSettings) { c.operatorToken = operatorToken })
	query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/draft/x", Session: "s", MaxTokens: 100}
	for i := range int64(6) {
		c.do("host-0", newDraft(i))
	}
	explanation := c.explainIdle(query)
	require.True(t, explanation.ComparesSample)
	require.Len(t, explanation.Candidates, len(c.engines))
	for _, candidate := range explanation.Candidates {
		require.NotNil(t, candidate.Learned)
		sum := candidate.PrefillMS + candidate.DecodeMS + candidate.Learned.InterferenceMS + candidate.QueueingMS +
			candidate.Learned.PreemptionMS + candidate.FailuresMS + candidate.FailureDomainMS + candidate.AdmissionDelayMS
		require.InDelta(t, candidate.CostMS, sum, 1e-6)
		require.GreaterOrEqual(t, candidate.CostMS, explanation.Candidates[0].CostMS)
	}
}

// TestExplainShowsEvacuatedAndColdUpstreams guards against evacuated upstreams that are listed as merely unavailable.
func TestExplainShowsEvacuatedAndColdUpstreams(t *testing.T) {
	c := newColdCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) {
		c.servesMetrics, c.operatorToken = true, operatorToken
	})
	query := reverseproxy.PlacementQuery{Host: "agents.example", Path: "/draft/x", Session: "s"}
	c.becomeColdByRegistration(10*time.Second, c.engines[0])
	explanation := c.explain(query)
	require.False(t, explanation.ComparesSample)
	require.Len(t, explanation.Candidates, 2)
	for _, candidate := range explanation.Candidates {
		require.Equal(t, candidate.Upstream == "engine-0", candidate.Cold, candidate.Upstream)
		require.Nil(t, candidate.Learned)
	}
	c.evacuate(standin.InitialFailureDomain)
	explanation = c.explain(query)
	require.Empty(t, explanation.Candidates)
	require.Equal(t, []reverseproxy.ExcludedUpstream{
		{Upstream: "engine-0", Reason: reverseproxy.ExcludedEvacuated}, {Upstream: "engine-1", Reason: reverseproxy.ExcludedEvacuated},
	}, explanation.Excluded)
}
