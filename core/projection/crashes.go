package projection

import (
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record/recordpb"
)

// crashSweepIntervalAppends is the number of appends between two searches for expired crashes.
const crashSweepIntervalAppends = 1 << 10

// PoisonStatus returns whether a request is known or suspected to crash upstreams.
func (c *Control) PoisonStatus(request id.Fingerprint) poison.Status {
	if hasLeftWindow(c.lastCrashPositions[request], CrashWindowAppends, c.currentOffset) {
		return poison.Clean
	}

	return c.crashes.Status(request)
}

// Quarantined reports whether a request is refused because it crashes upstreams.
func (c *Control) Quarantined(request id.Fingerprint) bool {
	return c.PoisonStatus(request) == poison.Confirmed
}

func (c *Control) applyCrash(pos id.Position, body *recordpb.Crash) RejectReason {
	request := id.Fingerprint(body.GetFingerprint())
	if body.GetCleared() || hasLeftWindow(c.lastCrashPositions[request], CrashWindowAppends, c.currentOffset) {
		c.clearCrashes(request)
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
	if c.lastCrashPositions == nil {
		c.lastCrashPositions = make(map[id.Fingerprint]id.Position)
	}
	c.lastCrashPositions[request] = pos

	return Valid
}

func (c *Control) clearCrashes(request id.Fingerprint) {
	c.crashes.Clear(request)
	delete(c.lastCrashPositions, request)
}

// dropExpired drops rejected records and crashes that have left their windows.
func (c *Control) dropExpired() {
	c.rejected.dropExpired(c.currentOffset)
	if c.currentOffset%crashSweepIntervalAppends != 0 {
		return
	}
	for request, last := range c.lastCrashPositions {
		if hasLeftWindow(last, CrashWindowAppends, c.currentOffset) {
			c.clearCrashes(request)
		}
	}
}

// crashSnapshots returns the crashes that are still in their window, in the order in which their requests first crashed.
func (c *Control) crashSnapshots(next id.Offset) []*recordpb.CrashSnapshot {
	var snapshots []*recordpb.CrashSnapshot
	for _, request := range c.crashes.TrackedRequests() {
		if hasLeftWindow(c.lastCrashPositions[request], CrashWindowAppends, next) {
			continue
		}
		snapshot := &recordpb.CrashSnapshot{Fingerprint: uint64(request), LastRecord: uint64(c.lastCrashPositions[request])}
		for _, crash := range c.crashes.CrashReports(request) {
			snapshot.Runs = append(snapshot.Runs, crash.Process)
			snapshot.Alone = append(snapshot.Alone, crash.Alone)
		}
		snapshots = append(snapshots, snapshot)
	}

	return snapshots
}

func (c *Control) restoreCrashes(snapshots []*recordpb.CrashSnapshot) {
	c.crashes = poison.Detector{}
	c.lastCrashPositions = make(map[id.Fingerprint]id.Position, len(snapshots))
	for _, snapshot := range snapshots {
		request := id.Fingerprint(snapshot.GetFingerprint())
		for i, process := range snapshot.GetRuns() {
			alone := i < len(snapshot.GetAlone()) && snapshot.GetAlone()[i]
			c.crashes.RecordCrash(poison.CrashReport{Request: request, Process: process, Alone: alone})
		}
		c.lastCrashPositions[request] = id.Position(snapshot.GetLastRecord())
	}
}
