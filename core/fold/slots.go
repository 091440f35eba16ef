package fold

import (
	_ "embed"

	"cardamomward/core/chart"
	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

//go:embed slot.yaml
var slotChartFile []byte

var slotChart = chart.MustLoad(slotChartFile)

// Slot states of the chart in slot.yaml.
const (
	SlotUnowned  chart.State = "unowned"
	SlotOwned    chart.State = "owned"
	SlotReleased chart.State = "released"
)

// SlotState says who owns a slot and since which claim.
type SlotState struct {
	Owner id.Host
	Epoch id.Epoch
	State chart.State
	// Claims counts the claims so far.
	Claims int
	// LastRecord is the position of the latest valid record of the slot.
	LastRecord id.Position
}

// Slots is the fold of all claims and releases.
type Slots struct {
	slots [id.SlotCount]SlotState
}

// Slot returns the state of a slot.
func (s *Slots) Slot(slot id.Slot) SlotState {
	state := s.slots[slot%id.SlotCount]
	if state.State == "" {
		state.State = slotChart.Initial
	}

	return state
}

// Owns reports whether host owns the slot at epoch.
func (s *Slots) Owns(host id.Host, slot id.Slot, epoch id.Epoch) bool {
	state := s.Slot(slot)

	return state.State == SlotOwned && state.Owner == host && state.Epoch == epoch
}

// fence returns why a record of a slot's owner is void, or Valid.
func (s *Slots) fence(pos id.Position, rec *record.Record) Reason {
	if rec.GetSlot() >= id.SlotCount {
		return WrongSlot
	}
	slot := id.Slot(rec.GetSlot())
	if !s.Owns(id.Host(rec.GetHost()), slot, id.Epoch(rec.GetEpoch())) {
		return StaleEpoch
	}
	s.slots[slot].LastRecord = pos

	return Valid
}

func (s *Slots) claim(pos id.Position, host id.Host, body *recordpb.Claim) []id.Slot {
	var taken []id.Slot
	for _, number := range body.GetSlots() {
		if number >= id.SlotCount {
			continue
		}
		slot := id.Slot(number)
		state := s.Slot(slot)
		if !body.GetForced() && state.State == SlotOwned {
			continue
		}
		next, err := slotChart.Next(state.State, "claim")
		if err != nil {
			continue
		}
		s.slots[slot] = SlotState{Owner: host, Epoch: pos, State: next, Claims: state.Claims + 1, LastRecord: pos}
		taken = append(taken, slot)
	}

	return taken
}

func (s *Slots) release(host id.Host, body *recordpb.Release) []id.Slot {
	var released []id.Slot
	for _, number := range body.GetSlots() {
		if number >= id.SlotCount {
			continue
		}
		slot := id.Slot(number)
		state := s.Slot(slot)
		if state.Owner != host {
			continue
		}
		next, err := slotChart.Next(state.State, "release")
		if err != nil {
			continue
		}
		s.slots[slot].State = next
		released = append(released, slot)
	}

	return released
}
