package promises_test

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

func TestProgramsOfAnotherWorkspaceAreOutOfReach(t *testing.T) {
	w := start(t, engine.Config{})
	clerks, desk := w.key("clerks"), w.key("desk")
	program, err := w.client(0, clerks.BearerToken).OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	_, err = w.client(1, clerks.BearerToken).SendMessage(t.Context(), program.ID, model, "ours")
	require.NoError(t, err)
	for host := range w.Hosts {
		other := w.client(host, desk.BearerToken)
		_, err = other.ProgramHistory(t.Context(), program.ID)
		require.Equal(t, apierror.NotFound, kindOf(err))
		_, err = other.SendMessage(t.Context(), program.ID, model, "theirs")
		require.Equal(t, apierror.NotFound, kindOf(err))
		_, err = other.OpenProgram(t.Context(), caller.OpenRequest{Parent: program.ID})
		require.Equal(t, apierror.NotFound, kindOf(err))
		_, err = other.EndProgram(t.Context(), program.ID)
		require.Equal(t, apierror.NotFound, kindOf(err))
	}
	history, err := w.client(2, clerks.BearerToken).ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	require.Len(t, history.History, 1)
	require.Equal(t, "open", history.State)
}

func TestTheSameIdempotencyKeyOfTwoWorkspacesIsTwoCalls(t *testing.T) {
	w := start(t, engine.Config{})
	var answers []string
	for _, workspace := range []id.Workspace{"clerks", "desk"} {
		client := w.client(0, w.key(workspace).BearerToken)
		answer, err := client.CallService(t.Context(), "", "bookings", "confirm", "shared", workspace)
		require.NoError(t, err)
		require.False(t, answer.Replayed)
		answers = append(answers, string(answer.Body))
	}
	require.NotEqual(t, answers[0], answers[1])
}

func TestConcurrentTurnsWithoutNumbersRunOneAfterAnother(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	program, err := w.client(0, issued.BearerToken).OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	const turns = 12
	var group sync.WaitGroup
	errs := make([]error, turns)
	for i := range turns {
		group.Go(func() {
			_, errs[i] = w.client(i%hosts, issued.BearerToken).SendMessage(t.Context(), program.ID, model, fmt.Sprintf("message %d", i))
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	history, err := w.client(0, issued.BearerToken).ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	require.Len(t, history.History, turns)
	// Each turn's prompt holds all earlier ones, so its tokens grow with each turn.
	for i := 1; i < turns; i++ {
		require.Greater(t, history.History[i].PromptTokens, history.History[i-1].PromptTokens)
	}
}

// duringTakeover are the refusals after which a caller comes back while slots change hands.
var duringTakeover = []apierror.Kind{apierror.RateLimited, apierror.Overloaded, apierror.OwnerChanged, apierror.LogUnavailable}

func TestBudgetHoldsForParallelSubAgentsAndOverATakeover(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	client := w.client(1, issued.BearerToken)
	const budget = 3000
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{BudgetTokens: budget})
	require.NoError(t, err)
	var agents []id.Program
	for range 8 {
		child, err := client.OpenProgram(t.Context(), caller.OpenRequest{Parent: program.ID})
		require.NoError(t, err)
		agents = append(agents, child.ID)
	}
	spend := func(from *caller.Client) {
		var group sync.WaitGroup
		for _, agent := range agents {
			group.Go(func() {
				for i := 0; ; i++ {
					_, err := from.SendMessage(t.Context(), agent, model, fmt.Sprintf("question %d of %s", i, agent))
					switch kind := kindOf(err); {
					case kind == apierror.BudgetExhausted:
						return
					case err != nil && !slices.Contains(duringTakeover, kind):
						assert.Fail(t, "refused", "%v", err)

						return
					}
				}
			})
		}
		group.Wait()
	}
	spend(client)
	before := w.spent(agents, budget)
	owner, err := client.ProgramHistory(t.Context(), program.ID)
	require.NoError(t, err)
	w.Kill(w.index(owner.Host))
	survivor := w.client((w.index(owner.Host)+1)%hosts, issued.BearerToken)
	w.eventually(func() bool {
		history, err := survivor.ProgramHistory(t.Context(), program.ID)

		return err == nil && history.Host != owner.Host && history.UsedTokens >= before
	})
	spend(survivor)
	require.GreaterOrEqual(t, w.spent(agents, budget), before)
}

// spent returns the tokens that the engines computed for agents, and checks that they are within budget.
func (w *world) spent(agents []id.Program, budget id.Tokens) id.Tokens {
	w.t.Helper()
	var total id.Tokens
	for host := range w.Hosts {
		total = 0
		for _, agent := range agents {
			program, err := w.Operator(host).GetProgram(w.t.Context(), agent, true)
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
	require.Positive(w.t, total)
	require.LessOrEqual(w.t, total, budget)

	return total
}

// index returns the index of a host by name.
func (w *world) index(name id.Host) int {
	w.t.Helper()
	for i, host := range w.Hosts {
		if host.HostEntry().Host == name {
			return i
		}
	}
	require.FailNow(w.t, "no such host", "%s", name)

	return -1
}

func TestOperatorsRaceAndOneWins(t *testing.T) {
	w := start(t, engine.Config{})
	current, err := w.Operator(0).GetSettings(t.Context())
	require.NoError(t, err)
	base := current.Version
	for round := range 5 {
		var group sync.WaitGroup
		versions := make([]id.Position, hosts)
		errs := make([]error, hosts)
		for i := range hosts {
			group.Go(func() {
				document := strings.Replace(current.Document, "burst: 4000", fmt.Sprintf("burst: %d", 4000+10*round+i), 1)
				resp, err := w.Operator(i).PublishSettings(t.Context(), operatorapi.PublishRequest{
					BaseVersion: base, Document: document, Author: fmt.Sprintf("operator-%d", i), WaitMillis: patience.Milliseconds(),
				})
				versions[i], errs[i] = resp.Version, err
			})
		}
		group.Wait()
		winners := 0
		for i := range hosts {
			if errs[i] == nil {
				winners++
				base = versions[i]

				continue
			}
			require.Equal(t, apierror.SettingsConflict, kindOf(errs[i]), "%v", errs[i])
		}
		require.Equal(t, 1, winners)
		for i := range hosts {
			status, err := w.Operator(i).GetClusterStatus(t.Context())
			require.NoError(t, err)
			require.Equal(t, base, status.SettingsVersion)
		}
	}
}

func TestSettingsNeverRevertOverARestartAndAnOutage(t *testing.T) {
	w := start(t, engine.Config{})
	before, err := w.Operator(0).GetClusterStatus(t.Context())
	require.NoError(t, err)
	w.network.Cut("host-1", fleet.LogName)
	current, err := w.Operator(1).GetSettings(t.Context())
	require.NoError(t, err)
	resp, err := w.Operator(1).PublishSettings(t.Context(), operatorapi.PublishRequest{
		BaseVersion: current.Version, Document: strings.Replace(current.Document, "burst: 4000", "burst: 4100", 1),
		WaitMillis: patience.Milliseconds(),
	})
	require.NoError(t, err)
	require.Greater(t, resp.Version, before.SettingsVersion)
	require.Len(t, resp.AppliedHosts, hosts, "a host that only peers reach lacks the version")

	// A host that comes new has the version in force before it serves.
	_, err = w.StartHost(t.Context(), "host-4", "domain-a", w.opts)
	require.NoError(t, err)
	w.eventually(func() bool {
		status, err := w.Operator(3).GetClusterStatus(t.Context())

		return err == nil && status.SettingsVersion == resp.Version
	})
	w.Kill(2)
	for i := range 2 {
		status, err := w.Operator(i).GetClusterStatus(t.Context())
		require.NoError(t, err)
		require.Equal(t, resp.Version, status.SettingsVersion)
	}
}

func TestARepeatedTurnWithOtherMessagesIsRefused(t *testing.T) {
	w := start(t, engine.Config{})
	client := w.client(0, w.key("clerks").BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	ask := func(text string) (caller.Response, error) {
		chat := caller.ChatRequest{Model: model, Messages: []caller.ChatMessage{{Role: "user", Content: caller.Text(text)}}}

		return client.RunTurn(t.Context(), program.ID, 1, chat)
	}
	first, err := ask("first")
	require.NoError(t, err)
	again, err := ask("first")
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, first.Text, again.Text)
	_, err = ask("other")
	require.Equal(t, apierror.TurnConflict, kindOf(err))
}

func TestTurnsAreRefusedWhileAllEnginesAreSilent(t *testing.T) {
	w := start(t, engine.Config{})
	client := w.client(0, w.key("clerks").BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	for _, server := range w.Engines {
		server.Abort()
	}
	// Some of these find an engine that has just been given up; without an end to their wait they would time out.
	for range 20 {
		_, err := client.SendMessage(t.Context(), program.ID, model, "anyone")
		require.Equal(t, apierror.NoUpstream, kindOf(err), "%v", err)
		require.Positive(t, apierror.From(err).RetryAfter)
	}
}
