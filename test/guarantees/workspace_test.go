package guarantees_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
	"cardamomward/standin/engine"
	"cardamomward/standin/fleet"
)

func TestProgramsOfOtherWorkspacesAreNotFound(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	clerks, desk := tc.issueKey("clerks"), tc.issueKey("desk")
	program, err := tc.clientAt(0, clerks.BearerToken).OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	_, err = tc.clientAt(1, clerks.BearerToken).SendMessage(t.Context(), program.ID, modelName, "ours")
	require.NoError(t, err)
	for host := range tc.Hosts {
		other := tc.clientAt(host, desk.BearerToken)
		_, err = other.ProgramHistory(t.Context(), program.ID)
		require.Equal(t, apierror.NotFound, errorKind(err))
		_, err = other.SendMessage(t.Context(), program.ID, modelName, "theirs")
		require.Equal(t, apierror.NotFound, errorKind(err))
		_, err = other.OpenProgram(t.Context(), caller.OpenRequest{Parent: program.ID})
		require.Equal(t, apierror.NotFound, errorKind(err))
		_, err = other.EndProgram(t.Context(), program.ID)
		require.Equal(t, apierror.NotFound, errorKind(err))
	}
	history, err := tc.clientAt(2, clerks.BearerToken).ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	require.Len(t, history.History, 1)
	require.Equal(t, "open", history.State)
}

func TestIdempotencyKeysAreScopedToTheWorkspace(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	var responses []string
	for _, workspace := range []id.Workspace{"clerks", "desk"} {
		client := tc.clientAt(0, tc.issueKey(workspace).BearerToken)
		response, err := client.CallService(t.Context(), "", "bookings", "confirm", "shared", workspace)
		require.NoError(t, err)
		require.False(t, response.Replayed)
		responses = append(responses, string(response.Body))
	}
	require.NotEqual(t, responses[0], responses[1])
}

func TestConcurrentUnnumberedTurnsRunSequentially(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	program, err := tc.clientAt(0, issued.BearerToken).OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	const turns = 12
	var group sync.WaitGroup
	errs := make([]error, turns)
	for i := range turns {
		group.Go(func() {
			_, errs[i] = tc.clientAt(i%hostCount, issued.BearerToken).SendMessage(t.Context(), program.ID, modelName, fmt.Sprintf("message %d", i))
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	history, err := tc.clientAt(0, issued.BearerToken).ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	require.Len(t, history.History, turns)
	// Each prompt contains all earlier turns, so the prompt tokens grow with each turn.
	for i := 1; i < turns; i++ {
		require.Greater(t, history.History[i].PromptTokens, history.History[i-1].PromptTokens)
	}
}

// retryableDuringFailover are the error kinds after which a caller may retry while slots change owners.
var retryableDuringFailover = []apierror.Kind{apierror.RateLimited, apierror.Overloaded, apierror.OwnerChanged, apierror.LogUnavailable}

func TestBudgetHoldsForParallelSubAgentsAcrossFailover(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	client := tc.clientAt(1, issued.BearerToken)
	const budget = 3000
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{BudgetTokens: budget})
	require.NoError(t, err)
	var agents []id.Program
	for range 8 {
		child, err := client.OpenProgram(t.Context(), caller.OpenRequest{Parent: program.ID})
		require.NoError(t, err)
		agents = append(agents, child.ID)
	}
	spendUntilExhausted := func(from *caller.Client) {
		var group sync.WaitGroup
		for _, agent := range agents {
			group.Go(func() {
				for i := 0; ; i++ {
					_, err := from.SendMessage(t.Context(), agent, modelName, fmt.Sprintf("question %d of %s", i, agent))
					switch kind := errorKind(err); {
					case kind == apierror.BudgetExhausted:
						return
					case err != nil && !slices.Contains(retryableDuringFailover, kind):
						assert.Fail(t, "refused", "%v", err)

						return
					}
				}
			})
		}
		group.Wait()
	}
	spendUntilExhausted(client)
	before := tc.requireWithinBudget(agents, budget)
	owner, err := client.ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	tc.KillHost(tc.hostIndex(owner.Host))
	survivor := tc.clientAt((tc.hostIndex(owner.Host)+1)%hostCount, issued.BearerToken)
	tc.requireEventually(func() bool {
		history, err := survivor.ProgramHistory(t.Context(), program.ID)

		return err == nil && history.Host != owner.Host && history.UsedTokens >= before
	})
	spendUntilExhausted(survivor)
	require.GreaterOrEqual(t, tc.requireWithinBudget(agents, budget), before)
}

// requireWithinBudget checks that the tokens used by agents are within budget and returns their sum.
func (tc *testCluster) requireWithinBudget(agents []id.Program, budget id.Tokens) id.Tokens {
	tc.t.Helper()
	var total id.Tokens
	for host := range tc.Hosts {
		total = 0
		for _, agent := range agents {
			program, err := tc.OperatorClient(host).GetProgram(tc.t.Context(), agent, true)
			if err != nil {
				break
			}
			for _, turn := range program.History {
				total += turn.PromptTokens + turn.CompletionTokens
			}
		}
		if total > 0 {
			break
		}
	}
	require.Positive(tc.t, total)
	require.LessOrEqual(tc.t, total, budget)

	return total
}

// hostIndex returns the index of a host by name.
func (tc *testCluster) hostIndex(name id.Host) int {
	tc.t.Helper()
	for i, host := range tc.Hosts {
		if host.HostEntry().Host == name {
			return i
		}
	}
	require.FailNow(tc.t, "no such host", "%s", name)

	return -1
}

func TestOneOfConcurrentPublishesSucceeds(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	current, err := tc.OperatorClient(0).GetSettings(t.Context())
	require.NoError(t, err)
	base := current.Version
	for round := range 5 {
		var group sync.WaitGroup
		versions := make([]id.Position, hostCount)
		errs := make([]error, hostCount)
		for i := range hostCount {
			group.Go(func() {
				document := strings.Replace(current.Document, "burst: 4000", fmt.Sprintf("burst: %d", 4000+10*round+i), 1)
				resp, err := tc.OperatorClient(i).PublishSettings(t.Context(), operatorapi.PublishRequest{
					BaseVersion: base, Document: document, Author: fmt.Sprintf("operator-%d", i), WaitMillis: waitTimeout.Milliseconds(),
				})
				versions[i], errs[i] = resp.Version, err
			})
		}
		group.Wait()
		winners := 0
		for i := range hostCount {
			if errs[i] == nil {
				winners++
				base = versions[i]

				continue
			}
			require.Equal(t, apierror.SettingsConflict, errorKind(errs[i]), "%v", errs[i])
		}
		require.Equal(t, 1, winners)
		for i := range hostCount {
			status, err := tc.OperatorClient(i).GetClusterStatus(t.Context())
			require.NoError(t, err)
			require.Equal(t, base, status.SettingsVersion)
		}
	}
}

func TestSettingsDoNotRevertAfterHostStartAndLogOutage(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	before, err := tc.OperatorClient(0).GetClusterStatus(t.Context())
	require.NoError(t, err)
	tc.network.CutLink("host-1", fleet.LogName)
	current, err := tc.OperatorClient(1).GetSettings(t.Context())
	require.NoError(t, err)
	resp, err := tc.OperatorClient(1).PublishSettings(t.Context(), operatorapi.PublishRequest{
		BaseVersion: current.Version, Document: strings.Replace(current.Document, "burst: 4000", "burst: 4100", 1),
		WaitMillis: waitTimeout.Milliseconds(),
	})
	require.NoError(t, err)
	require.Greater(t, resp.Version, before.SettingsVersion)
	require.Len(t, resp.AppliedHosts, hostCount, "a host that only peers reach lacks the version")

	// A new host applies the current version before it serves.
	_, err = tc.StartHost(t.Context(), "host-4", "domain-a", tc.opts)
	require.NoError(t, err)
	tc.requireEventually(func() bool {
		status, err := tc.OperatorClient(3).GetClusterStatus(t.Context())

		return err == nil && status.SettingsVersion == resp.Version
	})
	tc.KillHost(2)
	for i := range 2 {
		status, err := tc.OperatorClient(i).GetClusterStatus(t.Context())
		require.NoError(t, err)
		require.Equal(t, resp.Version, status.SettingsVersion)
	}
}

func TestRepeatedTurnWithDifferentMessagesIsRefused(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	client := tc.clientAt(0, tc.issueKey("clerks").BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	ask := func(text string) (caller.Response, error) {
		chat := caller.ChatRequest{Model: modelName, Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(text)}}}

		return client.RunTurn(t.Context(), program.ID, 1, chat)
	}
	first, err := ask("first")
	require.NoError(t, err)
	replayed, err := ask("first")
	require.NoError(t, err)
	require.True(t, replayed.Replayed)
	require.Equal(t, first.Text, replayed.Text)
	_, err = ask("other")
	require.Equal(t, apierror.TurnConflict, errorKind(err))
}

func TestTurnsAreRefusedWhenAllEnginesAreDown(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	client := tc.clientAt(0, tc.issueKey("clerks").BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	for _, server := range tc.Engines {
		server.Abort()
	}
	// Some of these calls are queued for an engine that has just been marked as down; they must fail instead of waiting until the timeout.
	for range 20 {
		_, err := client.SendMessage(t.Context(), program.ID, modelName, "anyone")
		require.Equal(t, apierror.NoUpstream, errorKind(err), "%v", err)
		require.Positive(t, apierror.From(err).RetryAfter)
	}
}
