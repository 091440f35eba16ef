package replay

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Turn is one model call of an agent with the tool pause that follows it.
type Turn struct {
	Input  id.Tokens
	Output id.Tokens
	Pause  time.Duration
	// Agents run in parallel after the turn; the next turn waits for all of them.
	Agents []Agent
}

// Agent is a chain of dependent turns.
type Agent struct{ Turns []Turn }

// Program is a program to run.
type Program struct {
	ID        id.Program
	Workspace id.Workspace
	Weight    float64
	Urgent    bool
	Arrive    time.Duration
	// Manual and ManualTokens are the prefix that the workspace's programs share.
	Manual       prompt.PrefixHash
	ManualTokens id.Tokens
	Agent        Agent
}

// Shape draws the turns of a program.
type Shape func(*rand.Rand) Agent

func between(r *rand.Rand, low, high int) id.Tokens { return id.Tokens(low + r.IntN(high-low+1)) }

func pause(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// Draft writes stand rules for an exhibitor: few short turns.
func Draft(r *rand.Rand) Agent {
	var a Agent
	for range between(r, 2, 4) {
		a.Turns = append(a.Turns, Turn{
			Input: between(r, 100, 600), Output: between(r, 80, 300), Pause: pause(r, 500*time.Millisecond, 3*time.Second),
		})
	}

	return a
}

// Walk takes a firm through its manual chapter by chapter; every third chapter has sub-agents.
func Walk(r *rand.Rand) Agent {
	var a Agent
	for chapter := range between(r, 8, 12) {
		t := Turn{Input: between(r, 1000, 3000), Output: between(r, 150, 400), Pause: pause(r, time.Second, 4*time.Second)}
		if chapter%3 == 2 {
			for range between(r, 2, 3) {
				t.Agents = append(t.Agents, Agent{Turns: []Turn{
					{Input: between(r, 400, 1200), Output: between(r, 80, 200), Pause: time.Second},
					{Input: between(r, 100, 300), Output: between(r, 80, 200)},
				}})
			}
		}
		a.Turns = append(a.Turns, t)
	}

	return a
}

// Conversation is a dispatch assistant's long talk with technicians.
func Conversation(r *rand.Rand) Agent {
	var a Agent
	for range between(r, 30, 50) {
		a.Turns = append(a.Turns, Turn{
			Input: between(r, 100, 400), Output: between(r, 60, 200), Pause: pause(r, 4*time.Second, 12*time.Second),
		})
	}

	return a
}

// Repair reads a fault log and drafts a repair plan, with one sub-agent.
func Repair(r *rand.Rand) Agent {
	var a Agent
	for i := range between(r, 3, 6) {
		t := Turn{Input: between(r, 300, 900), Output: between(r, 100, 350), Pause: pause(r, time.Second, 5*time.Second)}
		if i == 0 {
			t.Input = between(r, 2000, 6000)
			t.Agents = []Agent{{Turns: []Turn{{Input: between(r, 400, 900), Output: between(r, 80, 200)}}}}
		}
		a.Turns = append(a.Turns, t)
	}

	return a
}

// Fault is an urgent callbox fault: one or two short turns.
func Fault(r *rand.Rand) Agent {
	var a Agent
	for range between(r, 1, 2) {
		a.Turns = append(a.Turns, Turn{Input: between(r, 300, 800), Output: between(r, 60, 150), Pause: time.Second})
	}

	return a
}

// work is what a program costs the engines with a perfect cache, as a part of one engine's time in seconds.
func (m EngineModel) work(a Agent) float64 {
	var total float64
	for _, t := range a.Turns {
		full := m.Interval.Seconds() * (1 + m.Growth)
		total += float64(t.Input)/m.Prefill + float64(t.Output)*full/float64(m.Slots)
		for _, child := range t.Agents {
			total += m.work(child)
		}
	}

	return total
}

// alone is the latency of an agent on an idle engine whose cache already holds the manual.
func (m EngineModel) alone(a Agent) time.Duration {
	var total time.Duration
	for i, t := range a.Turns {
		perToken := m.Interval.Seconds() * (1 + m.Growth/float64(m.Slots))
		call := float64(t.Input)/m.Prefill + float64(t.Output)*perToken
		total += time.Duration(call * float64(time.Second))
		var longest time.Duration
		for _, child := range t.Agents {
			longest = max(longest, m.alone(child))
		}
		total += longest
		if i+1 < len(a.Turns) {
			total += t.Pause
		}
	}

	return total
}
