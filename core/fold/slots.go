package fold

import (
	_ "embed"
	"slices"

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
	// Fresh is set while no owner may have granted anything from the slot's buckets.
	Fresh bool
	// Claims counts the claims so far.
	Claims int
	// LastRecord is the position of the latest valid record of the slot.
	LastRecord id.Position
}

// Slots is the fold of all claims and releases.
type Slots struct {
	slots [id.SlotCount]SlotState
	// levels are the buckets that the last owner of a slot handed over.
	levels map[id.Workspace]float64
}

// BucketLevel returns what a workspace's bucket held when its slot was released, if it was.
func (s *Slots) BucketLevel(workspace id.Workspace) (float64, bool) {
	level, ok := s.levels[workspace]

	return level, ok
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
		if state.State == SlotOwned {
			s.forgetLevels(slot)
		}
		next, err := slotChart.Next(state.State, "claim")
		if err != nil {
			continue
		}
		s.slots[slot] = SlotState{
			Owner:      host,
			Epoch:      pos,
			State:      next,
			Fresh:      state.State == SlotUnowned || (state.State == SlotReleased && state.Fresh),
			Claims:     state.Claims + 1,
			LastRecord: pos,
		}
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

	s.keepLevels(released, body.GetLevels())

	return released
}

func (s *Slots) keepLevels(released []id.Slot, levels []*recordpb.BucketLevel) {
	if s.levels == nil {
		s.levels = make(map[id.Workspace]float64)
	}
	for _, level := range levels {
		workspace := id.Workspace(level.GetWorkspace())
		if slices.Contains(released, id.WorkspaceSlot(workspace)) {
			s.levels[workspace] = level.GetRequests()
			s.slots[id.WorkspaceSlot(workspace)].Fresh = false
		}
	}
}

// forgetLevels drops the levels of a slot, which are worth nothing once an owner has granted from them.
func (s *Slots) forgetLevels(slot id.Slot) {
	for workspace := range s.levels {
		if id.WorkspaceSlot(workspace) == slot {
			delete(s.levels, workspace)
		}
	}
}
