package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

const (
	// quarantineAfter is how many different upstream processes a request may crash before it is refused.
	quarantineAfter = 2
	// crashSweep is how many appends pass between two searches for crashes to forget.
	crashSweep = 1 << 10
)

type crashes struct {
	runs map[string]struct{}
	last id.Position
}

// Quarantined reports whether a request has crashed as many upstream processes as is allowed.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	state, ok := c.crashes[request]

	return ok && !expired(state.last, CrashWindow, c.now) && len(state.runs) >= quarantineAfter
}

func (c *Control) crash(pos id.Position, body *recordpb.Crash) Reason {
	if c.crashes == nil {
		c.crashes = make(map[id.Fingerprint]*crashes)
	}
	request := id.Fingerprint(body.GetFingerprint())
	state, ok := c.crashes[request]
	if !ok || expired(state.last, CrashWindow, c.now) {
		state = &crashes{runs: make(map[string]struct{})}
		c.crashes[request] = state
	}
	run := body.GetUpstream() + "/" + body.GetRun()
	if _, ok := state.runs[run]; ok {
		return AlreadyIncluded
	}
	state.runs[run] = struct{}{}
	state.last = pos

	return Valid
}

// sweep forgets the crashes that have left their window.
func (c *Control) sweep() {
	c.voids.forget(c.now)
	if c.now%crashSweep != 0 {
		return
	}
	for request, state := range c.crashes {
		if expired(state.last, CrashWindow, c.now) {
			delete(c.crashes, request)
		}
	}
}
