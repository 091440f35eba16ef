package retrypolicy_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/retrypolicy"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// attemptEvent is the end of one attempt to send a request.
type attemptEvent string

const (
	notWritten             attemptEvent = "no byte was written"
	refusedWithMarker      attemptEvent = "refused with the marker that nothing was executed"
	refusedWithoutMarker   attemptEvent = "refused without the marker"
	headLost               attemptEvent = "written, response head lost"
	bodyLost               attemptEvent = "response head received, response body lost"
	connectionReset        attemptEvent = "reset while the request was written"
	timedOut               attemptEvent = "written, no response until the timeout"
	processTerminated      attemptEvent = "written, the process terminated"
	processTerminatedInMid attemptEvent = "response head received, the process terminated"
	answered               attemptEvent = "answered"
)

// attemptEvents names the events that allow another attempt several times, so that long sequences are drawn.
var attemptEvents = []attemptEvent{
	notWritten, notWritten, notWritten, notWritten, refusedWithMarker, refusedWithMarker, refusedWithMarker, refusedWithMarker, refusedWithoutMarker, headLost, bodyLost, connectionReset, timedOut, processTerminated, processTerminatedInMid, answered,
}

// mayExecute reports whether the upstream may have executed the request.
func (e attemptEvent) mayExecute() bool { return e != notWritten && e != refusedWithMarker }

// certainlyExecutes reports whether a response shows that the upstream executed the request.
func (e attemptEvent) certainlyExecutes() bool {
	return e == answered || e == bodyLost || e == processTerminatedInMid
}

// terminatesProcess reports whether the process that got the request is known to have ended.
func (e attemptEvent) terminatesProcess() bool {
	return e == processTerminated || e == processTerminatedInMid
}

// outcomes returns what the host records when the attempt has a response head or none, and on what it decides at the end.
func (e attemptEvent) outcomes() (recorded, decided retrypolicy.Outcome) {
	switch e {
	case notWritten:
		return retrypolicy.NotSent, retrypolicy.NotSent
	case refusedWithMarker:
		return retrypolicy.NotExecuted, retrypolicy.NotExecuted
	case bodyLost, processTerminatedInMid:
		return retrypolicy.Answered, retrypolicy.Lost
	case answered:
		return retrypolicy.Answered, retrypolicy.Answered
	default:
		return retrypolicy.Lost, retrypolicy.Lost
	}
}

// executionModel counts the executions of one request.
type executionModel struct {
	sends int
	// possible counts the attempts that may have been executed, and actual those that were.
	possible, actual int
	// possibleInLive counts the possible executions in processes that are not known to have ended.
	possibleInLive int
}

func (m *executionModel) apply(event attemptEvent, isExecuted bool) {
	m.sends++
	if event.mayExecute() {
		m.possible++
		if !event.terminatesProcess() {
			m.possibleInLive++
		}
	}
	if isExecuted {
		m.actual++
	}
}

// Guards against a second execution of requests that must not be repeated, against more executions than a route allows, and against
// reports that a request was not executed although it was. The host reports that exactly if Executed is zero.
func TestRequestIsExecutedAndReportedAsModelAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := retrypolicy.Policy{
			AllowReexecution: rapid.Bool().Draw(t, "reexecution allowed"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max attempts"),
		}
		var attempts retrypolicy.Attempts
		var model executionModel
		for mayContinue := true; mayContinue; {
			event := rapid.SampledFrom(attemptEvents).Draw(t, "event")
			isExecuted := event.certainlyExecutes() || event.mayExecute() && rapid.Bool().Draw(t, "executed")
			timeLeft := rapid.SampledFrom([]time.Duration{time.Second, time.Second, time.Second, time.Millisecond, -time.Millisecond}).Draw(t, "time left")
			possibleBefore := model.possible
			model.apply(event, isExecuted)
			recorded, decided := event.outcomes()
			attempts.Record(recorded)
			mayContinue = attempts.ShouldRetry(policy, decided, event.terminatesProcess(), timeLeft)

			require.LessOrEqual(t, model.sends-model.possible, 6, "a request does not try every full upstream")
			if !policy.AllowReexecution {
				require.Zero(t, possibleBefore, "a request that may have been executed is not sent again")
				require.LessOrEqual(t, model.actual, 1)
			}
			if !policy.AllowReexecution && model.possible > 0 {
				for outcome := retrypolicy.NotSent; outcome <= retrypolicy.Answered; outcome++ {
					require.False(t, attempts.ShouldRetry(policy, outcome, true, time.Second), "nor after any later outcome: %s", outcome)
				}
			}
			require.LessOrEqual(t, model.possibleInLive, policy.MaxAttempts, "processes that live execute a request at most as often as the route allows")
			require.LessOrEqual(t, model.possible, policy.MaxAttempts+1)
			if model.possible > 0 {
				require.Positive(t, attempts.Executed, "a request that may have been executed is not reported as not executed")
			} else {
				require.Zero(t, attempts.Executed, "a request that was not executed is reported so")
			}
			if timeLeft < 0 || event == answered {
				require.False(t, mayContinue)
			}
			if model.possible == 0 && model.sends == 1 && timeLeft == time.Second {
				require.True(t, mayContinue, "the first upstream executed nothing, so another is tried")
			}
		}
	})
}
