package fold

import (
	_ "embed"

	"cardamomward/core/chart"
	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

//go:embed program.yaml
var programChartFile []byte

var programChart = chart.MustLoad(programChartFile)

// Program states of the chart in program.yaml.
const (
	ProgramOpen  chart.State = "open"
	ProgramEnded chart.State = "ended"
)

// Program is a chain of dependent calls as the log records it.
type Program struct {
	ID          id.Program
	Workspace   id.Workspace
	Parent      id.Program
	Name        string
	State       chart.State
	EndReason   string
	LeaseMillis int64
	Turns       []*recordpb.Turn
	// Budget, Used and Marked count tokens; only a root program has a budget.
	Budget id.Tokens
	Used   id.Tokens
	// Marked is the durable high-water mark of what may have been spent.
	Marked id.Tokens
	// LastRecord is the position of the program's latest valid record.
	LastRecord id.Position
}

// Programs is the fold of the programs stream: slots, programs and calls that must not be repeated.
type Programs struct {
	Slots

	programs map[id.Program]*Program
	bySlot   map[id.Slot][]id.Program
	calls    map[CallKey]*Call
}

// Program returns a program; the caller must not change it.
func (p *Programs) Program(program id.Program) (*Program, bool) {
	state, ok := p.programs[program]

	return state, ok
}

// SlotPrograms returns the programs of a slot in the order in which they were opened.
func (p *Programs) SlotPrograms(slot id.Slot) []id.Program { return p.bySlot[slot] }

// All calls visit for each program until it returns false.
func (p *Programs) All(visit func(*Program) bool) {
	for _, program := range p.programs {
		if !visit(program) {
			return
		}
	}
}

// Apply folds one record of the programs stream.
func (p *Programs) Apply(pos id.Position, rec *record.Record) Reason {
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_Claim:
		return p.applyClaim(pos, rec, body.Claim)
	case *recordpb.Record_Release:
		return p.applyRelease(rec, body.Release)
	case *recordpb.Record_Outcome:
		return p.applyOutcome(pos, rec, body.Outcome)
	}
	if reason := p.fence(pos, rec); reason != Valid {
		return reason
	}

	return p.applyFenced(pos, rec)
}

func (p *Programs) applyFenced(pos id.Position, rec *record.Record) Reason {
	slot := id.Slot(rec.GetSlot())
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_ProgramOpen:
		return p.open(pos, slot, body.ProgramOpen)
	case *recordpb.Record_Turn:
		return p.turn(pos, slot, body.Turn)
	case *recordpb.Record_ProgramEnd:
		return p.end(pos, slot, body.ProgramEnd)
	case *recordpb.Record_BudgetMark:
		return p.mark(pos, slot, body.BudgetMark)
	case *recordpb.Record_Intent:
		return p.intent(pos, slot, body.Intent)
	default:
		return UnknownKind
	}
}

func (p *Programs) applyClaim(pos id.Position, rec *record.Record, body *recordpb.Claim) Reason {
	taken := p.claim(pos, id.Host(rec.GetHost()), body)
	if len(taken) == 0 {
		return NotOwner
	}
	// What the last owner had reserved may have been spent: it counts as spent.
	for _, slot := range taken {
		for _, program := range p.bySlot[slot] {
			state := p.programs[program]
			state.Used = max(state.Used, state.Marked)
		}
	}

	return Valid
}

func (p *Programs) applyRelease(rec *record.Record, body *recordpb.Release) Reason {
	released := p.release(id.Host(rec.GetHost()), body)
	if len(released) == 0 {
		return NotOwner
	}
	// A release follows the end of all calls, so nothing reserved is in doubt.
	for _, slot := range released {
		for _, program := range p.bySlot[slot] {
			state := p.programs[program]
			state.Marked = state.Used
		}
	}

	return Valid
}

func (p *Programs) open(pos id.Position, slot id.Slot, body *recordpb.ProgramOpen) Reason {
	program := id.Program(body.GetProgram())
	if id.ProgramSlot(program) != slot {
		return WrongSlot
	}
	if _, ok := p.programs[program]; ok {
		return ProgramExists
	}
	if program.Root() != program {
		parent, ok := p.programs[id.Program(body.GetParent())]
		if !ok || parent.ID.Root() != program.Root() {
			return NoSuchProgram
		}
		if parent.State != ProgramOpen || string(parent.Workspace) != body.GetWorkspace() {
			return ProgramNotOpen
		}
	}
	if p.programs == nil {
		p.programs = make(map[id.Program]*Program)
		p.bySlot = make(map[id.Slot][]id.Program)
	}
	p.programs[program] = &Program{
		ID:          program,
		Workspace:   id.Workspace(body.GetWorkspace()),
		Parent:      id.Program(body.GetParent()),
		Name:        body.GetName(),
		State:       programChart.Initial,
		LeaseMillis: body.GetLeaseMillis(),
		Budget:      id.Tokens(body.GetBudgetTokens()),
		LastRecord:  pos,
	}
	p.bySlot[slot] = append(p.bySlot[slot], program)

	return Valid
}

// step moves a program along its chart and returns it, or why the record is void.
func (p *Programs) step(pos id.Position, slot id.Slot, name string, event chart.Event) (*Program, Reason) {
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

func (p *Programs) turn(pos id.Position, slot id.Slot, body *recordpb.Turn) Reason {
	if program, ok := p.programs[id.Program(body.GetProgram())]; ok && int(body.GetNumber()) != len(program.Turns)+1 {
		return OutOfOrder
	}
	program, reason := p.step(pos, slot, body.GetProgram(), "turn")
	if reason != Valid {
		return reason
	}
	program.Turns = append(program.Turns, body)
	root := p.programs[program.ID.Root()]
	root.Used += id.Tokens(body.GetPromptTokens() + body.GetCompletionTokens())
	root.Marked = max(root.Marked, root.Used)

	return Valid
}

func (p *Programs) end(pos id.Position, slot id.Slot, body *recordpb.ProgramEnd) Reason {
	program, reason := p.step(pos, slot, body.GetProgram(), "end")
	if reason != Valid {
		return reason
	}
	program.EndReason = body.GetReason()
	p.endChildren(program, body.GetReason())

	return Valid
}

// endChildren ends the sub-agents below a program that has ended.
func (p *Programs) endChildren(parent *Program, reason string) {
	for _, name := range p.bySlot[id.ProgramSlot(parent.ID)] {
		child := p.programs[name]
		if child.Parent != parent.ID || child.State != ProgramOpen {
			continue
		}
		child.State = ProgramEnded
		child.EndReason = reason
		p.endChildren(child, reason)
	}
}

func (p *Programs) mark(pos id.Position, slot id.Slot, body *recordpb.BudgetMark) Reason {
	program, reason := p.step(pos, slot, body.GetProgram(), "budget-mark")
	if reason != Valid {
		return reason
	}
	program.Marked = max(program.Marked, id.Tokens(body.GetTokens()))

	return Valid
}
