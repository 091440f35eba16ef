package simulation

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Turn is one model call of an agent and the tool pause that follows it.
type Turn struct {
	InputTokens  id.Tokens
	OutputTokens id.Tokens
	ToolPause    time.Duration
	// SubAgents run in parallel after the turn; the next turn waits for all of them.
	SubAgents []Agent
}

// Agent is a sequence of dependent turns.
type Agent struct{ Turns []Turn }

// Program is a generated agent program with its arrival time.
type Program struct {
	ID        id.Program
	Workspace id.Workspace
	// Weight is the workspace's weight in the fair queue; zero means one.
	Weight float64
	Urgent bool
	// ArrivalOffset is the time from the start of the run to the program's arrival.
	ArrivalOffset time.Duration
	// SharedPrefix and SharedPrefixTokens are the hash and length of the prompt prefix (a manual) that all programs of the
	// workspace share.
	SharedPrefix       prompt.PrefixHash
	SharedPrefixTokens id.Tokens
	Agent              Agent
}

// AgentGenerator draws the turns of a program.
type AgentGenerator func(*rand.Rand) Agent

// randomTokens returns a random number from low to high, both included.
func randomTokens(r *rand.Rand, low, high int) id.Tokens { return id.Tokens(low + r.IntN(high-low+1)) }

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// GenerateDraft draws a program that drafts the rules for an exhibitor's stand: a few short turns.
func GenerateDraft(r *rand.Rand) Agent {
	var a Agent
	for range randomTokens(r, 2, 4) {
		a.Turns = append(a.Turns, Turn{
			InputTokens: randomTokens(r, 100, 600), OutputTokens: randomTokens(r, 80, 300), ToolPause: randomDuration(r, 500*time.Millisecond, 3*time.Second),
		})
	}

	return a
}

// GenerateWalkthrough draws a program that reads a manual chapter by chapter; every third chapter has sub-agents.
func GenerateWalkthrough(r *rand.Rand) Agent {
	var a Agent
	for chapter := range randomTokens(r, 8, 12) {
		t := Turn{InputTokens: randomTokens(r, 1000, 3000), OutputTokens: randomTokens(r, 150, 400), ToolPause: randomDuration(r, time.Second, 4*time.Second)}
		if chapter%3 == 2 {
			for range randomTokens(r, 2, 3) {
				t.SubAgents = append(t.SubAgents, Agent{Turns: []Turn{
					{InputTokens: randomTokens(r, 400, 1200), OutputTokens: randomTokens(r, 80, 200), ToolPause: time.Second},
					{InputTokens: randomTokens(r, 100, 300), OutputTokens: randomTokens(r, 80, 200)},
				}})
			}
		}
		a.Turns = append(a.Turns, t)
	}

	return a
}

// GenerateConversation draws a long conversation of a dispatch assistant with technicians.
func GenerateConversation(r *rand.Rand) Agent {
	var a Agent
	for range randomTokens(r, 30, 50) {
		a.Turns = append(a.Turns, Turn{
			InputTokens: randomTokens(r, 100, 400), OutputTokens: randomTokens(r, 60, 200), ToolPause: randomDuration(r, 4*time.Second, 12*time.Second),
		})
	}

	return a
}

// GenerateRepairPlan draws a program that reads a fault log and drafts a repair plan, with one sub-agent.
func GenerateRepairPlan(r *rand.Rand) Agent {
	var a Agent
	for i := range randomTokens(r, 3, 6) {
		t := Turn{InputTokens: randomTokens(r, 300, 900), OutputTokens: randomTokens(r, 100, 350), ToolPause: randomDuration(r, time.Second, 5*time.Second)}
		if i == 0 {
			t.InputTokens = randomTokens(r, 2000, 6000)
			t.SubAgents = []Agent{{Turns: []Turn{{InputTokens: randomTokens(r, 400, 900), OutputTokens: randomTokens(r, 80, 200)}}}}
		}
		a.Turns = append(a.Turns, t)
	}

	return a
}

// GenerateFault draws a program for an urgent callbox fault: one or two short turns.
func GenerateFault(r *rand.Rand) Agent {
	var a Agent
	for range randomTokens(r, 1, 2) {
		a.Turns = append(a.Turns, Turn{InputTokens: randomTokens(r, 300, 800), OutputTokens: randomTokens(r, 60, 150), ToolPause: time.Second})
	}

	return a
}

// engineSeconds returns the engine time in seconds that an agent uses with a perfect cache and full batches.
func (m EngineModel) engineSeconds(a Agent) float64 {
	var total float64
	for _, t := range a.Turns {
		fullBatchInterval := m.TokenInterval.Seconds() * (1 + m.BatchSlowdown)
		total += float64(t.InputTokens)/m.PrefillTokensPerSecond + float64(t.OutputTokens)*fullBatchInterval/float64(m.MaxConcurrentCalls)
		for _, child := range t.SubAgents {
			total += m.engineSeconds(child)
		}
	}

	return total
}

// unloadedLatency returns the latency of an agent on an idle engine that has cached the shared prefix and earlier turns.
func (m EngineModel) unloadedLatency(a Agent) time.Duration {
	var total time.Duration
	for i, t := range a.Turns {
		tokenInterval := m.TokenInterval.Seconds() * (1 + m.BatchSlowdown/float64(m.MaxConcurrentCalls))
		call := float64(t.InputTokens)/m.PrefillTokensPerSecond + float64(t.OutputTokens)*tokenInterval
		total += time.Duration(call * float64(time.Second))
		var longest time.Duration
		for _, child := range t.SubAgents {
			longest = max(longest, m.unloadedLatency(child))
		}
		total += longest
		if i+1 < len(a.Turns) {
			total += t.ToolPause
		}
	}

	return total
}
