package projection

import (
	"cmp"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/statechart"
)

var (
	errs = errorx.NewNamespace("fold")

	// ErrInvalidSnapshot marks a snapshot that cannot be decoded or does not fit its slot.
	ErrInvalidSnapshot = errs.NewType("snapshot")
)

// Snapshot returns the state of a slot before the append at next, or nil if it is unknown.
// The message shares its turns and outcomes with the state, which never changes them.
func (p *Programs) Snapshot(slot id.Slot, next id.Offset) *recordpb.SlotSnapshot {
	state := p.Slot(slot)
	if state.State == SlotUnknown {
		return nil
	}
	snapshot := &recordpb.SlotSnapshot{
		Slot:       uint32(slot),
		Owner:      string(state.Owner),
		Run:        string(state.Incarnation),
		Epoch:      uint64(state.Epoch),
		State:      string(state.State),
		Claims:     uint32(state.ClaimCount),
		LastRecord: uint64(state.LastRecord),
		Fresh:      state.BucketsUnused,
		Levels:     p.bucketLevels(slot),
	}
	c, ok := p.contents[slot]
	if !ok {
		return snapshot
	}
	snapshot.Voids = c.rejected.snapshot(next)
	for _, name := range c.programs {
		program := p.programs[name]
		if program.EndPosition == 0 || !hasLeftWindow(program.EndPosition, EndedProgramWindowAppends, next) {
			snapshot.Programs = append(snapshot.Programs, program.snapshot())
		}
	}
	for _, call := range c.calls {
		if !hasLeftWindow(call.Position, CallWindowAppends, next) {
			snapshot.Calls = append(snapshot.Calls, call.snapshot())
		}
	}

	return snapshot
}

// LastSnapshot returns the latest complete snapshot of a slot; its zero value means that there is none.
func (p *Programs) LastSnapshot(slot id.Slot) SnapshotMeta {
	if c, ok := p.contents[slot]; ok {
		return c.lastSnapshot
	}

	return SnapshotMeta{}
}

func (p *Program) snapshot() *recordpb.ProgramSnapshot {
	return &recordpb.ProgramSnapshot{
		Open: &recordpb.ProgramOpen{
			Program:      string(p.ID),
			Workspace:    string(p.Workspace),
			Parent:       string(p.Parent),
			Name:         p.Name,
			BudgetTokens: int64(p.Budget),
			LeaseMillis:  p.LeaseMillis,
		},
		Turns:        p.Turns,
		UsedTokens:   int64(p.Used),
		MarkedTokens: int64(p.UsedUpperBound),
		State:        string(p.State),
		EndReason:    p.EndReason,
		LastRecord:   uint64(p.LastRecord),
		Ended:        uint64(p.EndPosition),
	}
}

func (c *Call) snapshot() *recordpb.CallSnapshot {
	return &recordpb.CallSnapshot{
		Intent: &recordpb.Intent{
			Program:     string(c.Program),
			Workspace:   string(c.Workspace),
			Service:     string(c.Service),
			Key:         c.Key,
			Fingerprint: uint64(c.Fingerprint),
			Upstream:    string(c.Upstream),
		},
		Position: uint64(c.Position),
		Epoch:    uint64(c.Epoch),
		Outcome:  c.Outcome,
	}
}

// Ready returns true, because NeedsSnapshot reports for each slot whether its state is known.
func (p *Programs) Ready() bool { return true }

// NeedsSnapshot reports whether the state of a slot is unknown and has to be restored from a snapshot.
func (p *Programs) NeedsSnapshot(slot id.Slot) bool { return p.Slot(slot).State == SlotUnknown }

// Invalidate makes all slots unknown until they are restored from snapshots that include all records before first.
func (p *Programs) Invalidate(first id.Offset) {
	*p = Programs{}
	for slot := range p.slots {
		next, err := slotChart.Next(p.Slot(id.Slot(slot)).State, "lose")
		if err != nil {
			continue
		}
		p.slots[slot] = SlotState{State: next}
		p.slotContent(id.Slot(slot)).firstReadOffset = first
	}
}

// Restore loads the snapshot of a slot and applies the queued records of the slot that follow it.
func (p *Programs) Restore(slot id.Slot, meta SnapshotMeta, data []byte) error {
	c := p.slotContent(slot)
	if meta.NextOffset >= c.lastSnapshot.NextOffset {
		c.lastSnapshot = meta
	}
	// An older snapshot would leave a gap before the first record that was read.
	if !p.NeedsSnapshot(slot) || data == nil || meta.NextOffset < c.firstReadOffset {
		return nil
	}
	var snapshot recordpb.SlotSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return ErrInvalidSnapshot.Wrap(err, "decode snapshot of slot %d", slot)
	}
	state, err := slotChart.Next(SlotUnknown, statechart.Event("restore-"+snapshot.GetState()))
	if err != nil || id.Slot(snapshot.GetSlot()) != slot {
		return ErrInvalidSnapshot.New("the snapshot for slot %d contains slot %d in state %q", slot, snapshot.GetSlot(), snapshot.GetState())
	}
	p.slots[slot] = SlotState{
		Owner:       id.Host(snapshot.GetOwner()),
		Incarnation: id.Incarnation(snapshot.GetRun()),
		Epoch:       id.Epoch(snapshot.GetEpoch()),
		State:       state,
		ClaimCount:  int(snapshot.GetClaims()),
		LastRecord:  id.Position(snapshot.GetLastRecord()),
	}
	p.saveBucketLevels(slot, snapshot.GetLevels())
	p.slots[slot].BucketsUnused = snapshot.GetFresh()
	c.rejected.restore(snapshot.GetVoids())
	for _, program := range snapshot.GetPrograms() {
		p.restoreProgram(slot, program)
	}
	p.indexEndedPrograms(slot)
	for _, call := range snapshot.GetCalls() {
		p.restoreCall(slot, call)
	}
	p.applyQueued(slot, meta.NextOffset)

	return nil
}

// applyQueued applies the records of a slot that were queued until its snapshot was complete.
func (p *Programs) applyQueued(slot id.Slot, next id.Offset) {
	c := p.slotContent(slot)
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if r.pos.Offset() >= next {
			p.applyToSlot(r.pos, slot, r.rec)
		}
	}
}

func (p *Programs) restoreProgram(slot id.Slot, body *recordpb.ProgramSnapshot) {
	open := body.GetOpen()
	p.addProgram(slot, &Program{
		ID:             id.Program(open.GetProgram()),
		Workspace:      id.Workspace(open.GetWorkspace()),
		Parent:         id.Program(open.GetParent()),
		Name:           open.GetName(),
		State:          statechart.State(body.GetState()),
		EndReason:      body.GetEndReason(),
		LeaseMillis:    open.GetLeaseMillis(),
		Turns:          body.GetTurns(),
		Budget:         id.Tokens(open.GetBudgetTokens()),
		Used:           id.Tokens(body.GetUsedTokens()),
		UsedUpperBound: id.Tokens(body.GetMarkedTokens()),
		LastRecord:     id.Position(body.GetLastRecord()),
		EndPosition:    id.Position(body.GetEnded()),
	})
}

// indexEndedPrograms queues the ended programs among the restored ones to be dropped after their window.
func (p *Programs) indexEndedPrograms(slot id.Slot) {
	c := p.slotContent(slot)
	for _, name := range c.programs {
		if ended := p.programs[name].EndPosition; ended != 0 {
			c.endedPrograms = append(c.endedPrograms, endedProgram{programID: name, endPosition: ended})
		}
	}
	slices.SortStableFunc(c.endedPrograms, func(a, b endedProgram) int { return cmp.Compare(a.endPosition, b.endPosition) })
}

func (p *Programs) restoreCall(slot id.Slot, body *recordpb.CallSnapshot) {
	intent := body.GetIntent()
	p.addCall(slot, &Call{
		CallKey: CallKey{
			Workspace: id.Workspace(intent.GetWorkspace()),
			Service:   id.Service(intent.GetService()),
			Key:       intent.GetKey(),
		},
		Program:     id.Program(intent.GetProgram()),
		Fingerprint: id.Fingerprint(intent.GetFingerprint()),
		Upstream:    id.Upstream(intent.GetUpstream()),
		Position:    id.Position(body.GetPosition()),
		Epoch:       id.Epoch(body.GetEpoch()),
		Outcome:     body.GetOutcome(),
	})
}
