package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// CallKey identifies a call that must not be repeated.
type CallKey struct {
	Workspace id.Workspace
	Service   id.Service
	Key       string
}

// Call is a durable intent and, once known, its outcome.
type Call struct {
	CallKey
	Program     id.Program
	Fingerprint id.Fingerprint
	Upstream    id.Upstream
	Position    id.Position
	Epoch       id.Epoch
	Outcome     *recordpb.Outcome
}

// Call returns the call under a key.
func (p *Programs) Call(key CallKey) (Call, bool) {
	call, ok := p.calls[key]
	if !ok {
		return Call{}, false
	}

	return *call, true
}

func (p *Programs) intent(pos id.Position, slot id.Slot, body *recordpb.Intent) Reason {
	key := CallKey{
		Workspace: id.Workspace(body.GetWorkspace()),
		Service:   id.Service(body.GetService()),
		Key:       body.GetKey(),
	}
	if _, ok := p.calls[key]; ok {
		return IntentExists
	}
	if id.CallSlot(key.Workspace, key.Key) != slot {
		return WrongSlot
	}
	if p.calls == nil {
		p.calls = make(map[CallKey]*Call)
	}
	// A call counts as a sign of life of the program that made it.
	if program, ok := p.programs[id.Program(body.GetProgram())]; ok && program.State == ProgramOpen {
		program.LastRecord = pos
	}
	p.calls[key] = &Call{
		CallKey:     key,
		Program:     id.Program(body.GetProgram()),
		Fingerprint: id.Fingerprint(body.GetFingerprint()),
		Upstream:    id.Upstream(body.GetUpstream()),
		Position:    pos,
		Epoch:       p.Slot(slot).Epoch,
	}

	return Valid
}

// applyOutcome keeps the first outcome of a call.
//
// One that names the call's intent counts even after the slot has moved: only the host that sent the call
// knows the position, and what it learnt stays true. Any other needs the slot.
func (p *Programs) applyOutcome(pos id.Position, rec *record.Record, body *recordpb.Outcome) Reason {
	key := CallKey{
		Workspace: id.Workspace(body.GetWorkspace()),
		Service:   id.Service(body.GetService()),
		Key:       body.GetKey(),
	}
	call, ok := p.calls[key]
	named := body.GetIntent() != 0
	if named && (!ok || call.Position != id.Position(body.GetIntent())) {
		return NoSuchIntent
	}
	if !named {
		if reason := p.fence(pos, rec); reason != Valid {
			return reason
		}
	}
	if !ok {
		return NoSuchIntent
	}
	if call.Outcome != nil && !call.Outcome.GetUnknown() {
		return OutcomeExists
	}
	if !body.GetNotRun() {
		call.Outcome = body

		return Valid
	}
	if !named {
		return NoSuchIntent
	}
	delete(p.calls, key)

	return Valid
}
