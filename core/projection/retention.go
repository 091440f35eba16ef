package projection

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record"
)

// slotContent is the state of a slot besides its owner.
type slotContent struct {
	// programs are in the order in which they were opened, endedPrograms in the order in which they ended.
	programs      []id.Program
	endedPrograms []endedProgram
	// calls are in the order of their intents.
	calls []*Call
	// rejected holds the ids of records that were rejected for the slot, because a later copy of one might pass the checks.
	rejected recentIDs
	// lastSnapshot is the latest complete snapshot of the slot.
	lastSnapshot SnapshotMeta
	// firstReadOffset and pending are used while the state of the slot is unknown: the offset of the first append after the
	// gap in the records that were read, and the queue of the records since then.
	firstReadOffset id.Offset
	pending         []pendingRecord
}

type endedProgram struct {
	programID   id.Program
	endPosition id.Position
}

type pendingRecord struct {
	pos id.Position
	rec *record.Record
}

func (p *Programs) slotContent(slot id.Slot) *slotContent {
	if p.contents == nil {
		p.contents = make(map[id.Slot]*slotContent)
	}
	c, ok := p.contents[slot]
	if !ok {
		c = &slotContent{}
		p.contents[slot] = c
	}

	return c
}

// hasLeftWindow reports whether a position is more than a window, in appends, behind the append at now.
func hasLeftWindow(at id.Position, window, now id.Offset) bool { return at.Offset()+window < now }

// dropExpired drops the ended programs, calls and rejected records of a slot that have left their windows.
func (p *Programs) dropExpired(slot id.Slot, now id.Offset) {
	c, ok := p.contents[slot]
	if !ok {
		return
	}
	expiredCount := 0
	for expiredCount < len(c.endedPrograms) && hasLeftWindow(c.endedPrograms[expiredCount].endPosition, EndedProgramWindowAppends, now) {
		name := c.endedPrograms[expiredCount].programID
		delete(p.programs, name)
		c.programs = slices.DeleteFunc(c.programs, func(other id.Program) bool { return other == name })
		expiredCount++
	}
	c.endedPrograms = slices.Delete(c.endedPrograms, 0, expiredCount)
	expiredCount = 0
	for expiredCount < len(c.calls) && hasLeftWindow(c.calls[expiredCount].Position, CallWindowAppends, now) {
		p.unindexCall(c.calls[expiredCount])
		expiredCount++
	}
	c.calls = slices.Delete(c.calls, 0, expiredCount)
	c.rejected.dropExpired(now)
}

// dropExpiredInOneSlot drops expired state in one slot for each append, so that slots without records are cleaned up too.
func (p *Programs) dropExpiredInOneSlot(now id.Offset) {
	if now == p.lastSweepOffset {
		return
	}
	p.lastSweepOffset = now
	p.dropExpired(id.Slot(now%id.SlotCount), now)
}
