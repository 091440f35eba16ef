package fold

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

	// ErrSnapshot marks a snapshot that cannot be taken over.
	ErrSnapshot = errs.NewType("snapshot")
)

// Snapshot restates a slot as it is before the append at next; it is nil for a slot of unknown state.
// The message shares its turns and outcomes with the fold, which never changes them.
func (p *Programs) Snapshot(slot id.Slot, next id.Offset) *recordpb.SlotSnapshot {
	state := p.Slot(slot)
	if state.State == SlotUnknown {
		return nil
	}
	snapshot := &recordpb.SlotSnapshot{
		Slot:       uint32(slot),
		Owner:      string(state.Owner),
		Run:        string(state.Run),
		Epoch:      uint64(state.Epoch),
		State:      string(state.State),
		Claims:     uint32(state.Claims),
		LastRecord: uint64(state.LastRecord),
		Fresh:      state.Fresh,
		Levels:     p.slotLevels(slot),
	}
	c, ok := p.contents[slot]
	if !ok {
		return snapshot
	}
	snapshot.Voids = c.voids.snapshot(next)
	for _, name := range c.programs {
		program := p.programs[name]
		if program.Ended == 0 || !expired(program.Ended, ProgramWindow, next) {
			snapshot.Programs = append(snapshot.Programs, program.snapshot())
		}
	}
	for _, call := range c.calls {
		if !expired(call.Position, CallWindow, next) {
			snapshot.Calls = append(snapshot.Calls, call.snapshot())
		}
	}

	return snapshot
}

// LastSnapshot returns the latest complete snapshot of a slot; its zero value means that there is none.
func (p *Programs) LastSnapshot(slot id.Slot) SnapshotMark {
	if c, ok := p.contents[slot]; ok {
		return c.snapshot
	}

	return SnapshotMark{}
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
		MarkedTokens: int64(p.Marked),
		State:        string(p.State),
		EndReason:    p.EndReason,
		LastRecord:   uint64(p.LastRecord),
		Ended:        uint64(p.Ended),
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

// Complete reports that the state can be used: a slot of unknown state says so itself.
func (p *Programs) Complete() bool { return true }

// Wants reports whether the state of a slot is unknown.
func (p *Programs) Wants(slot id.Slot) bool { return p.Slot(slot).State == SlotUnknown }

// Lose makes all slots unknown until snapshots that reach first restore them.
func (p *Programs) Lose(first id.Offset) {
	*p = Programs{}
	for slot := range p.slots {
		next, err := slotChart.Next(p.Slot(id.Slot(slot)).State, "lose")
		if err != nil {
			continue
		}
		p.slots[slot] = SlotState{State: next}
		p.content(id.Slot(slot)).since = first
	}
}

// Restore takes over the snapshot of a slot and folds what was read of the slot after it.
func (p *Programs) Restore(slot id.Slot, mark SnapshotMark, data []byte) error {
	c := p.content(slot)
	if mark.Next >= c.snapshot.Next {
		c.snapshot = mark
	}
	// Records between the snapshot and the first one that was read would be missing.
	if !p.Wants(slot) || data == nil || mark.Next < c.since {
		return nil
	}
	var snapshot recordpb.SlotSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return ErrSnapshot.Wrap(err, "decode snapshot of slot %d", slot)
	}
	state, err := slotChart.Next(SlotUnknown, statechart.Event("restore-"+snapshot.GetState()))
	if err != nil || id.Slot(snapshot.GetSlot()) != slot {
		return ErrSnapshot.New("slot %d: the snapshot says slot %d in state %q", slot, snapshot.GetSlot(), snapshot.GetState())
	}
	p.slots[slot] = SlotState{
		Owner:      id.Host(snapshot.GetOwner()),
		Run:        id.Run(snapshot.GetRun()),
		Epoch:      id.Epoch(snapshot.GetEpoch()),
		State:      state,
		Claims:     int(snapshot.GetClaims()),
		LastRecord: id.Position(snapshot.GetLastRecord()),
	}
	p.keepLevels(slot, snapshot.GetLevels())
	p.slots[slot].Fresh = snapshot.GetFresh()
	c.voids.restore(snapshot.GetVoids())
	for _, program := range snapshot.GetPrograms() {
		p.restoreProgram(slot, program)
	}
	p.restoreEnded(slot)
	for _, call := range snapshot.GetCalls() {
		p.restoreCall(slot, call)
	}
	p.replay(slot, mark.Next)

	return nil
}

// replay folds the records of a slot that were read before its snapshot was complete.
func (p *Programs) replay(slot id.Slot, next id.Offset) {
	c := p.content(slot)
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if r.pos.Offset() >= next {
			p.applySlot(r.pos, slot, r.rec)
		}
	}
}

func (p *Programs) restoreProgram(slot id.Slot, body *recordpb.ProgramSnapshot) {
	open := body.GetOpen()
	p.addProgram(slot, &Program{
		ID:          id.Program(open.GetProgram()),
		Workspace:   id.Workspace(open.GetWorkspace()),
		Parent:      id.Program(open.GetParent()),
		Name:        open.GetName(),
		State:       statechart.State(body.GetState()),
		EndReason:   body.GetEndReason(),
		LeaseMillis: open.GetLeaseMillis(),
		Turns:       body.GetTurns(),
		Budget:      id.Tokens(open.GetBudgetTokens()),
		Used:        id.Tokens(body.GetUsedTokens()),
		Marked:      id.Tokens(body.GetMarkedTokens()),
		LastRecord:  id.Position(body.GetLastRecord()),
		Ended:       id.Position(body.GetEnded()),
	})
}

// restoreEnded notes when the restored programs may be forgotten.
func (p *Programs) restoreEnded(slot id.Slot) {
	c := p.content(slot)
	for _, name := range c.programs {
		if ended := p.programs[name].Ended; ended != 0 {
			c.ended = append(c.ended, endedProgram{program: name, at: ended})
		}
	}
	slices.SortStableFunc(c.ended, func(a, b endedProgram) int { return cmp.Compare(a.at, b.at) })
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
