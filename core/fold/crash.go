package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record/recordpb"
)

// crashSweep is how many appends pass between two searches for crashes to forget.
const crashSweep = 1 << 10

// Standing returns how far a request is under suspicion of crashing upstreams.
func (c *Control) Standing(request id.Fingerprint) poison.Status {
	if expired(c.crashed[request], CrashWindow, c.now) {
		return poison.Clean
	}

	return c.crashes.Status(request)
}

// Quarantined reports whether a request may not run any more.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	return c.Standing(request) == poison.Confirmed
}

func (c *Control) crash(pos id.Position, body *recordpb.Crash) Reason {
	request := id.Fingerprint(body.GetFingerprint())
	if body.GetCleared() || expired(c.crashed[request], CrashWindow, c.now) {
		c.forgive(request)
	}
	if body.GetCleared() {
		return Valid
	}
	if !c.crashes.RecordCrash(poison.CrashReport{
		Request: request,
		Process: body.GetUpstream() + "/" + body.GetRun(),
		Alone:   body.GetAlone(),
	}) {
		return AlreadyIncluded
	}
	if c.crashed == nil {
		c.crashed = make(map[id.Fingerprint]id.Position)
	}
	c.crashed[request] = pos

	return Valid
}

func (c *Control) forgive(request id.Fingerprint) {
	c.crashes.Clear(request)
	delete(c.crashed, request)
}

// sweep forgets the crashes that have left their window.
func (c *Control) sweep() {
	c.voids.forget(c.now)
	if c.now%crashSweep != 0 {
		return
	}
	for request, last := range c.crashed {
		if expired(last, CrashWindow, c.now) {
			c.forgive(request)
		}
	}
}

// crashSnapshots restates the crashes that are still in their window, the longest known request first.
func (c *Control) crashSnapshots(next id.Offset) []*recordpb.CrashSnapshot {
	var snapshots []*recordpb.CrashSnapshot
	for _, request := range c.crashes.TrackedRequests() {
		if expired(c.crashed[request], CrashWindow, next) {
			continue
		}
		snapshot := &recordpb.CrashSnapshot{Fingerprint: uint64(request), LastRecord: uint64(c.crashed[request])}
		for _, crash := range c.crashes.CrashReports(request) {
			snapshot.Runs = append(snapshot.Runs, crash.Process)
			snapshot.Alone = append(snapshot.Alone, crash.Alone)
		}
		snapshots = append(snapshots, snapshot)
	}

	return snapshots
}

func (c *Control) takeCrashes(snapshots []*recordpb.CrashSnapshot) {
	c.crashes = poison.Detector{}
	c.crashed = make(map[id.Fingerprint]id.Position, len(snapshots))
	for _, snapshot := range snapshots {
		request := id.Fingerprint(snapshot.GetFingerprint())
		for i, process := range snapshot.GetRuns() {
			alone := i < len(snapshot.GetAlone()) && snapshot.GetAlone()[i]
			c.crashes.RecordCrash(poison.CrashReport{Request: request, Process: process, Alone: alone})
		}
		c.crashed[request] = id.Position(snapshot.GetLastRecord())
	}
}
