package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// quarantineAfter is how many different upstream processes a request may crash before it is refused.
const quarantineAfter = 2

type crashes struct {
	runs map[string]struct{}
}

// Quarantined reports whether a request has crashed as many upstream processes as is allowed.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	state, ok := c.crashes[request]

	return ok && len(state.runs) >= quarantineAfter
}

func (c *Control) crash(body *recordpb.Crash) Reason {
	if c.crashes == nil {
		c.crashes = make(map[id.Fingerprint]*crashes)
	}
	request := id.Fingerprint(body.GetFingerprint())
	state, ok := c.crashes[request]
	if !ok {
		state = &crashes{runs: make(map[string]struct{})}
		c.crashes[request] = state
	}
	state.runs[body.GetUpstream()+"/"+body.GetRun()] = struct{}{}

	return Valid
}
