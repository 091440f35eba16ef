package projection

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// CallKey identifies a call that must not be executed twice.
type CallKey struct {
	Workspace id.Workspace
	Service   id.Service
	Key       string
}

// Call is the durable intent of a call, which is recorded before the call is sent, and its outcome.
type Call struct {
	CallKey
	Program     id.Program
	Fingerprint id.Fingerprint
	Upstream    id.Upstream
	// Position is the position of the intent, and Epoch the epoch of the slot when it was recorded.
	Position id.Position
	Epoch    id.Epoch
	// Outcome is nil while the outcome is not recorded.
	Outcome *recordpb.Outcome
}

// Call returns the call with a key.
func (p *Programs) Call(key CallKey) (Call, bool) {
	call, ok := p.calls[key]
	if !ok {
		return Call{}, false
	}

	return *call, true
}

func (p *Programs) applyIntent(pos id.Position, slot id.Slot, body *recordpb.Intent) RejectReason {
	key := CallKey{
		Workspace: id.Workspace(body.GetWorkspace()),
		Service:   id.Service(body.GetService()),
		Key:       body.GetKey(),
	}
	if id.CallSlot(key.Workspace, key.Key) != slot {
		return WrongSlot
	}
	if _, ok := p.calls[key]; ok {
		return IntentExists
	}
	p.addCall(slot, &Call{
		CallKey:     key,
		Program:     id.Program(body.GetProgram()),
		Fingerprint: id.Fingerprint(body.GetFingerprint()),
		Upstream:    id.Upstream(body.GetUpstream()),
		Position:    pos,
		Epoch:       p.Slot(slot).Epoch,
	})

	return Valid
}

func (p *Programs) addCall(slot id.Slot, call *Call) {
	if p.calls == nil {
		p.calls = make(map[CallKey]*Call)
	}
	p.calls[call.CallKey] = call
	p.slotContent(slot).calls = append(p.slotContent(slot).calls, call)
	if call.Program == "" {
		return
	}
	if p.lastCallPositions == nil {
		p.lastCallPositions = make(map[id.Program]id.Position)
	}
	p.lastCallPositions[call.Program] = max(p.lastCallPositions[call.Program], call.Position)
}

func (p *Programs) removeCall(slot id.Slot, call *Call) {
	content := p.slotContent(slot)
	content.calls = slices.DeleteFunc(content.calls, func(other *Call) bool { return other == call })
	p.unindexCall(call)
}

// unindexCall removes a call from the indexes by key and program, but not from the list of its slot.
func (p *Programs) unindexCall(call *Call) {
	delete(p.calls, call.CallKey)
	if p.lastCallPositions[call.Program] == call.Position {
		delete(p.lastCallPositions, call.Program)
	}
}

// LastCallPosition returns the position of a program's latest call with an idempotency key, or zero.
func (p *Programs) LastCallPosition(program id.Program) id.Position {
	return p.lastCallPositions[program]
}

// applyOutcome stores the first known outcome of a call; an outcome of "not run" deletes the call, which frees its key.
func (p *Programs) applyOutcome(slot id.Slot, body *recordpb.Outcome) RejectReason {
	key := CallKey{
		Workspace: id.Workspace(body.GetWorkspace()),
		Service:   id.Service(body.GetService()),
		Key:       body.GetKey(),
	}
	if id.CallSlot(key.Workspace, key.Key) != slot {
		return WrongSlot
	}
	call, ok := p.calls[key]
	hasIntent := body.GetIntent() != 0
	if !ok || (hasIntent && call.Position != id.Position(body.GetIntent())) {
		return NoSuchIntent
	}
	if call.Outcome != nil && (body.GetUnknown() || !call.Outcome.GetUnknown()) {
		return OutcomeExists
	}
	if !body.GetNotRun() {
		call.Outcome = body

		return Valid
	}
	if !hasIntent {
		return NoSuchIntent
	}
	p.removeCall(slot, call)

	return Valid
}
