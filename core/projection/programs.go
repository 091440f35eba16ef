package projection

import (
	_ "embed"
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/statechart"
)

//go:embed program.yaml
var programChartFile []byte

var programChart = statechart.MustLoad(programChartFile)

// Program states of the chart in program.yaml.
const (
	ProgramOpen  statechart.State = "open"
	ProgramEnded statechart.State = "ended"
)

// Program is the recorded state of a chain of dependent calls.
type Program struct {
	ID        id.Program
	Workspace id.Workspace
	// Parent is empty for a root program.
	Parent id.Program
	// Name is the name that the caller gave the program.
	Name  string
	State statechart.State
	// EndReason says why the program has ended; it is empty while the program is open.
	EndReason string
	// LeaseMillis is the lifetime of the program without a call, in milliseconds.
	LeaseMillis int64
	// Turns are in the order of their numbers, which start at 1.
	Turns []*recordpb.Turn
	// Budget, Used and UsedUpperBound count the tokens of a root program and its sub-agents; only a root program has a
	// budget.
	Budget id.Tokens
	Used   id.Tokens
	// UsedUpperBound is the durable high-water mark of tokens that are used or reserved for calls.
	UsedUpperBound id.Tokens
	// LastRecord is the position of the program's latest valid record.
	LastRecord id.Position
	// EndPosition is the position of the record that ended the program, or zero while it is open.
	EndPosition id.Position
}

// Programs is the state of the programs stream: slots, programs and calls with an idempotency key.
type Programs struct {
	Slots

	programs map[id.Program]*Program
	calls    map[CallKey]*Call
	// lastCallPositions holds the position of each program's latest call.
	lastCallPositions map[id.Program]id.Position
	contents          map[id.Slot]*slotContent
	lastSweepOffset   id.Offset
}

// Program returns a program; the caller must not change it.
func (p *Programs) Program(program id.Program) (*Program, bool) {
	state, ok := p.programs[program]

	return state, ok
}

// SlotPrograms returns the programs of a slot in the order in which they were opened.
func (p *Programs) SlotPrograms(slot id.Slot) []id.Program {
	if c, ok := p.contents[slot]; ok {
		return c.programs
	}

	return nil
}

// ForEachProgram calls visit for each program, in no particular order, until it returns false.
func (p *Programs) ForEachProgram(visit func(*Program) bool) {
	for _, program := range p.programs {
		if !visit(program) {
			return
		}
	}
}

// Apply applies one record of the programs stream.
func (p *Programs) Apply(pos id.Position, rec *record.Record) RejectReason {
	p.recordHostPosition(pos, id.Host(rec.GetHost()))
	p.dropExpiredInOneSlot(pos.Offset())
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_Claim:
		return p.applyToSlots(pos, rec, body.Claim.GetSlots())
	case *recordpb.Record_Release:
		return p.applyToSlots(pos, rec, body.Release.GetSlots())
	}
	if rec.GetSlot() >= id.SlotCount {
		return WrongSlot
	}

	return p.applyOrQueue(pos, id.Slot(rec.GetSlot()), rec)
}

// applyToSlots applies a claim or release to its slots; it is valid if it is valid for at least one of them.
func (p *Programs) applyToSlots(pos id.Position, rec *record.Record, slots []uint32) RejectReason {
	result := NotOwner
	for _, number := range slots {
		if number >= id.SlotCount {
			continue
		}
		if p.applyOrQueue(pos, id.Slot(number), rec) == Valid {
			result = Valid
		}
	}

	return result
}

// applyOrQueue applies a record to a slot, or queues it until the slot's state is known.
func (p *Programs) applyOrQueue(pos id.Position, slot id.Slot, rec *record.Record) RejectReason {
	if p.NeedsSnapshot(slot) {
		c := p.slotContent(slot)
		c.pending = append(c.pending, pendingRecord{pos: pos, rec: rec})

		return StateUnknown
	}

	return p.applyToSlot(pos, slot, rec)
}

// applyToSlot applies a record to a slot of known state. A copy of a valid record is rejected because of its own
// content; the id of a rejected record is remembered, because a later copy might pass the checks.
func (p *Programs) applyToSlot(pos id.Position, slot id.Slot, rec *record.Record) RejectReason {
	p.dropExpired(slot, pos.Offset())
	if c, ok := p.contents[slot]; ok && c.rejected.contains(rec.GetId()) {
		return Duplicate
	}
	reason := p.dispatch(pos, slot, rec)
	if reason != Valid {
		p.slotContent(slot).rejected.add(rec.GetId(), pos.Offset())
	}

	return reason
}

func (p *Programs) dispatch(pos id.Position, slot id.Slot, rec *record.Record) RejectReason {
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_Claim:
		return p.applyClaim(pos, slot, rec, body.Claim)
	case *recordpb.Record_Release:
		return p.applyRelease(pos, slot, rec, body.Release)
	case *recordpb.Record_Outcome:
		// An outcome with the position of its intent is valid even after the slot has a new owner: only the host that
		// sent the call knows the position, and the outcome that it saw stays true.
		if body.Outcome.GetIntent() != 0 {
			return p.applyOutcome(slot, body.Outcome)
		}
	}
	if reason := p.checkEpoch(slot, rec); reason != Valid {
		return reason
	}
	reason := p.dispatchFenced(pos, slot, rec)
	if reason == Valid {
		p.slots[slot].LastRecord = pos
	}

	return reason
}

func (p *Programs) dispatchFenced(pos id.Position, slot id.Slot, rec *record.Record) RejectReason {
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_ProgramOpen:
		return p.applyProgramOpen(pos, slot, body.ProgramOpen)
	case *recordpb.Record_Turn:
		return p.applyTurn(pos, slot, body.Turn)
	case *recordpb.Record_ProgramEnd:
		return p.applyProgramEnd(pos, slot, body.ProgramEnd)
	case *recordpb.Record_BudgetMark:
		return p.applyBudgetMark(pos, slot, body.BudgetMark)
	case *recordpb.Record_Intent:
		return p.applyIntent(pos, slot, body.Intent)
	case *recordpb.Record_Outcome:
		return p.applyOutcome(slot, body.Outcome)
	default:
		return UnknownKind
	}
}

func (p *Programs) applyClaim(pos id.Position, slot id.Slot, rec *record.Record, body *recordpb.Claim) RejectReason {
	baseEpoch, ok := findSlotEpoch(slot, body.GetSlots(), body.GetEpochs())
	if !ok {
		return Malformed
	}
	change := ownershipChange{
		host: id.Host(rec.GetHost()), incarnation: id.Incarnation(body.GetRun()), slot: slot, baseEpoch: baseEpoch, forced: body.GetForced(),
	}
	if !p.claimSlot(pos, change) {
		return NotOwner
	}
	// The last owner may have spent the tokens that it had reserved, so they count as used.
	for _, programID := range p.SlotPrograms(slot) {
		program := p.programs[programID]
		program.Used = max(program.Used, program.UsedUpperBound)
	}

	return Valid
}

func (p *Programs) applyRelease(pos id.Position, slot id.Slot, rec *record.Record, body *recordpb.Release) RejectReason {
	epoch, ok := findSlotEpoch(slot, body.GetSlots(), body.GetEpochs())
	if !ok {
		return Malformed
	}
	if !p.releaseSlot(pos, ownershipChange{host: id.Host(rec.GetHost()), slot: slot, baseEpoch: epoch}) {
		return NotOwner
	}
	p.saveBucketLevels(slot, body.GetLevels())
	// The owner releases a slot only after all of its calls have ended, so no reservation is open.
	for _, programID := range p.SlotPrograms(slot) {
		program := p.programs[programID]
		program.UsedUpperBound = program.Used
	}

	return Valid
}

// findSlotEpoch returns the epoch that a claim or release lists for a slot.
func findSlotEpoch(slot id.Slot, slots []uint32, epochs []uint64) (id.Epoch, bool) {
	i, ok := slices.BinarySearch(slots, uint32(slot))
	if !ok {
		// Hosts write the slots in order, but readers must not depend on it.
		i = slices.Index(slots, uint32(slot))
	}
	if i < 0 || len(slots) != len(epochs) {
		return 0, false
	}

	return id.Epoch(epochs[i]), true
}

func (p *Programs) applyProgramOpen(pos id.Position, slot id.Slot, body *recordpb.ProgramOpen) RejectReason {
	program := id.Program(body.GetProgram())
	if program == "" {
		return Malformed
	}
	if id.ProgramSlot(program) != slot {
		return WrongSlot
	}
	if _, ok := p.programs[program]; ok {
		return ProgramExists
	}
	parentID := id.Program(body.GetParent())
	if program.Root() == program {
		parentID = ""
	} else {
		parent, ok := p.programs[parentID]
		if !ok || parent.ID.Root() != program.Root() {
			return NoSuchProgram
		}
		if parent.State != ProgramOpen || string(parent.Workspace) != body.GetWorkspace() {
			return ProgramNotOpen
		}
	}
	p.addProgram(slot, &Program{
		ID:          program,
		Workspace:   id.Workspace(body.GetWorkspace()),
		Parent:      parentID,
		Name:        body.GetName(),
		State:       programChart.Initial,
		LeaseMillis: body.GetLeaseMillis(),
		Budget:      id.Tokens(body.GetBudgetTokens()),
		LastRecord:  pos,
	})

	return Valid
}

func (p *Programs) addProgram(slot id.Slot, program *Program) {
	if p.programs == nil {
		p.programs = make(map[id.Program]*Program)
	}
	p.programs[program.ID] = program
	c := p.slotContent(slot)
	c.programs = append(c.programs, program.ID)
}

// markEnded ends a program and queues it to be dropped after its window.
func (p *Programs) markEnded(pos id.Position, slot id.Slot, program *Program, reason string) {
	program.State = ProgramEnded
	program.EndReason = reason
	program.EndPosition = pos
	c := p.slotContent(slot)
	c.endedPrograms = append(c.endedPrograms, endedProgram{programID: program.ID, endPosition: pos})
}

// applyProgramEvent applies an event to the state chart of a program and returns the program, or the reason why the record
// is rejected.
func (p *Programs) applyProgramEvent(pos id.Position, slot id.Slot, name string, event statechart.Event) (*Program, RejectReason) {
	program, ok := p.programs[id.Program(name)]
	if !ok {
		return nil, NoSuchProgram
	}
	if id.ProgramSlot(program.ID) != slot {
		return nil, WrongSlot
	}
	next, err := programChart.Next(program.State, event)
	if err != nil {
		return nil, ProgramNotOpen
	}
	program.State = next
	program.LastRecord = pos

	return program, Valid
}

func (p *Programs) applyTurn(pos id.Position, slot id.Slot, body *recordpb.Turn) RejectReason {
	if program, ok := p.programs[id.Program(body.GetProgram())]; ok && int(body.GetNumber()) != len(program.Turns)+1 {
		return OutOfOrder
	}
	program, reason := p.applyProgramEvent(pos, slot, body.GetProgram(), "turn")
	if reason != Valid {
		return reason
	}
	program.Turns = append(program.Turns, body)
	root, ok := p.programs[program.ID.Root()]
	if !ok {
		return Valid
	}
	root.Used += id.Tokens(max(0, body.GetPromptTokens()) + max(0, body.GetCompletionTokens()))
	root.UsedUpperBound = max(root.UsedUpperBound, root.Used)

	return Valid
}

func (p *Programs) applyProgramEnd(pos id.Position, slot id.Slot, body *recordpb.ProgramEnd) RejectReason {
	program, reason := p.applyProgramEvent(pos, slot, body.GetProgram(), "end")
	if reason != Valid {
		return reason
	}
	p.markEnded(pos, slot, program, body.GetReason())
	p.endChildren(pos, slot, program)

	return Valid
}

// endChildren ends the open sub-agents of a program that has ended, at all depths.
func (p *Programs) endChildren(pos id.Position, slot id.Slot, parent *Program) {
	for _, name := range p.SlotPrograms(slot) {
		child := p.programs[name]
		if child.Parent != parent.ID || child.State != ProgramOpen {
			continue
		}
		p.markEnded(pos, slot, child, parent.EndReason)
		p.endChildren(pos, slot, child)
	}
}

func (p *Programs) applyBudgetMark(pos id.Position, slot id.Slot, body *recordpb.BudgetMark) RejectReason {
	// A mark at or below the current one is valid without effect, so that a late copy changes nothing.
	program, ok := p.programs[id.Program(body.GetProgram())]
	if ok && program.State == ProgramOpen && id.Tokens(body.GetTokens()) <= program.UsedUpperBound {
		return Valid
	}
	program, reason := p.applyProgramEvent(pos, slot, body.GetProgram(), "budget-mark")
	if reason != Valid {
		return reason
	}
	program.UsedUpperBound = id.Tokens(body.GetTokens())

	return Valid
}
