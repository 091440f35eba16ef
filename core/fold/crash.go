package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/quarantine"
	"cardamomward/core/record/recordpb"
)

// Quarantined reports whether a request may not run any more.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	return c.crashes.Standing(request) == quarantine.Convicted
}

// Standing returns how far a request is under suspicion of crashing upstreams.
func (c *Control) Standing(request id.Fingerprint) quarantine.Standing {
	return c.crashes.Standing(request)
}

func (c *Control) crash(body *recordpb.Crash) Reason {
	request := id.Fingerprint(body.GetFingerprint())
	if body.GetCleared() {
		c.crashes.Clear(request)

		return Valid
	}
	c.crashes.Crash(quarantine.Crash{
		Request: request,
		Process: body.GetUpstream() + "/" + body.GetRun(),
		Alone:   body.GetAlone(),
	})

	return Valid
}
