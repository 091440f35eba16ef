package fold

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record"
)

// content is what the fold keeps of a slot besides its owner.
type content struct {
	// programs are in the order in which they were opened, ended in the order of their ends.
	programs []id.Program
	ended    []endedProgram
	// calls are in the order of their intents.
	calls []*Call
	// voids are the records that were void for the slot: a second copy might be valid by then.
	voids seen
	// snapshot is the latest complete snapshot of the slot.
	snapshot SnapshotMark
	// since and pending belong to a slot of unknown state: what was read of it since a gap.
	since   id.Offset
	pending []pendingRecord
}

type endedProgram struct {
	program id.Program
	at      id.Position
}

type pendingRecord struct {
	pos id.Position
	rec *record.Record
}

func (p *Programs) content(slot id.Slot) *content {
	if p.contents == nil {
		p.contents = make(map[id.Slot]*content)
	}
	c, ok := p.contents[slot]
	if !ok {
		c = &content{}
		p.contents[slot] = c
	}

	return c
}

// expired reports whether what happened at a position has left the window at an offset.
func expired(at id.Position, window, now id.Offset) bool { return at.Offset()+window < now }

// forget drops the ended programs and old calls of a slot that have left their windows.
func (p *Programs) forget(slot id.Slot, now id.Offset) {
	c, ok := p.contents[slot]
	if !ok {
		return
	}
	drop := 0
	for drop < len(c.ended) && expired(c.ended[drop].at, ProgramWindow, now) {
		name := c.ended[drop].program
		delete(p.programs, name)
		c.programs = slices.DeleteFunc(c.programs, func(other id.Program) bool { return other == name })
		drop++
	}
	c.ended = slices.Delete(c.ended, 0, drop)
	drop = 0
	for drop < len(c.calls) && expired(c.calls[drop].Position, CallWindow, now) {
		p.uncall(c.calls[drop])
		drop++
	}
	c.calls = slices.Delete(c.calls, 0, drop)
	c.voids.forget(now)
}

// sweep forgets in one slot for each append, so that quiet slots are emptied as well.
func (p *Programs) sweep(now id.Offset) {
	if now == p.swept {
		return
	}
	p.swept = now
	p.forget(id.Slot(now%id.SlotCount), now)
}
