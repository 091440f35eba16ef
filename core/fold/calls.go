package fold

import (
	"slices"

	"cardamomward/core/id"
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
	p.content(slot).calls = append(p.content(slot).calls, call)
	if call.Program == "" {
		return
	}
	if p.called == nil {
		p.called = make(map[id.Program]id.Position)
	}
	p.called[call.Program] = max(p.called[call.Program], call.Position)
}

func (p *Programs) dropCall(slot id.Slot, call *Call) {
	c := p.content(slot)
	c.calls = slices.DeleteFunc(c.calls, func(other *Call) bool { return other == call })
	p.uncall(call)
}

// uncall removes a call from all but the list of its slot.
func (p *Programs) uncall(call *Call) {
	delete(p.calls, call.CallKey)
	if p.called[call.Program] == call.Position {
		delete(p.called, call.Program)
	}
}

// LastCall returns the position of a program's latest call that must not be repeated, or zero.
func (p *Programs) LastCall(program id.Program) id.Position { return p.called[program] }

// outcome keeps the first known outcome of a call; one that says "not run" frees its key.
func (p *Programs) outcome(slot id.Slot, body *recordpb.Outcome) Reason {
	key := CallKey{
		Workspace: id.Workspace(body.GetWorkspace()),
		Service:   id.Service(body.GetService()),
		Key:       body.GetKey(),
	}
	if id.CallSlot(key.Workspace, key.Key) != slot {
		return WrongSlot
	}
	call, ok := p.calls[key]
	named := body.GetIntent() != 0
	if !ok || (named && call.Position != id.Position(body.GetIntent())) {
		return NoSuchIntent
	}
	if call.Outcome != nil && (body.GetUnknown() || !call.Outcome.GetUnknown()) {
		return OutcomeExists
	}
	if !body.GetNotRun() {
		call.Outcome = body

		return Valid
	}
	if !named {
		return NoSuchIntent
	}
	p.dropCall(slot, call)

	return Valid
}
