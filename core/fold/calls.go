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
}

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
	if !ok {
		return NoSuchIntent
	}
	if body.GetNeverSent() != 0 {
		return p.freeCall(slot, call, id.Position(body.GetNeverSent()))
	}
	if call.Outcome != nil && (body.GetUnknown() || !call.Outcome.GetUnknown()) {
		return OutcomeExists
	}
	call.Outcome = body

	return Valid
}

// freeCall drops an intent that nobody acted on. It names the intent, so that a late copy frees no later one.
func (p *Programs) freeCall(slot id.Slot, call *Call, intent id.Position) Reason {
	if call.Position != intent || call.Outcome != nil {
		return OutcomeExists
	}
	delete(p.calls, call.CallKey)
	c := p.content(slot)
	c.calls = slices.DeleteFunc(c.calls, func(other *Call) bool { return other == call })

	return Valid
}
