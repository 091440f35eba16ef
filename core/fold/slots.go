package fold

import (
	"cmp"
	_ "embed"
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/statechart"
)

//go:embed slot.yaml
var slotChartFile []byte

var slotChart = statechart.MustLoad(slotChartFile)

// Slot states of the chart in slot.yaml.
const (
	SlotUnowned  statechart.State = "unowned"
	SlotOwned    statechart.State = "owned"
	SlotReleased statechart.State = "released"
	// SlotUnknown is a slot whose records expired before this host read them.
	SlotUnknown statechart.State = "unknown"
)

// SlotState says who owns a slot and since which claim.
type SlotState struct {
	Owner id.Host
	// Run identifies the owner's process.
	Run   id.Run
	Epoch id.Epoch
	State statechart.State
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
	heard map[id.Host]id.Position
	// levels are the buckets that the last owner of a slot handed over.
	levels map[id.Slot]map[id.Workspace]float64
}

// BucketLevel returns what a workspace's bucket held when its slot was released, if it was.
func (s *Slots) BucketLevel(workspace id.Workspace) (float64, bool) {
	level, ok := s.levels[id.WorkspaceSlot(workspace)][workspace]

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

// Heard calls visit for each host with the position of its latest record, valid or not.
func (s *Slots) Heard(visit func(id.Host, id.Position)) {
	for host, pos := range s.heard {
		visit(host, pos)
	}
}

func (s *Slots) hear(pos id.Position, host id.Host) {
	if s.heard == nil {
		s.heard = make(map[id.Host]id.Position)
	}
	s.heard[host] = pos
}

// fence returns why a record of a slot's owner is void, or Valid.
func (s *Slots) fence(slot id.Slot, rec *record.Record) Reason {
	if !s.Owns(id.Host(rec.GetHost()), slot, id.Epoch(rec.GetEpoch())) {
		return StaleEpoch
	}

	return Valid
}

// claimTerms is what a claim says about one slot.
type claimTerms struct {
	host   id.Host
	run    id.Run
	slot   id.Slot
	base   id.Epoch
	forced bool
}

// claim gives a slot to a host if nobody has claimed it since the epoch on which the claim is based.
func (s *Slots) claim(pos id.Position, terms claimTerms) bool {
	state := s.Slot(terms.slot)
	if state.Epoch != terms.base || (!terms.forced && state.State == SlotOwned) {
		return false
	}
	next, err := slotChart.Next(state.State, "claim")
	if err != nil {
		return false
	}
	if state.State == SlotOwned {
		// Levels are worth nothing once an owner has granted from them.
		delete(s.levels, terms.slot)
	}
	s.slots[terms.slot] = SlotState{
		Owner:      terms.host,
		Run:        terms.run,
		Epoch:      pos,
		State:      next,
		Fresh:      state.State == SlotUnowned || (state.State == SlotReleased && state.Fresh),
		Claims:     state.Claims + 1,
		LastRecord: pos,
	}

	return true
}

// release ends a host's ownership if it still has the epoch that the release names.
func (s *Slots) release(pos id.Position, terms claimTerms) bool {
	state := s.Slot(terms.slot)
	if state.Owner != terms.host || state.Epoch != terms.base {
		return false
	}
	next, err := slotChart.Next(state.State, "release")
	if err != nil {
		return false
	}
	s.slots[terms.slot].State = next
	s.slots[terms.slot].LastRecord = pos

	return true
}

// keepLevels notes the buckets that a release hands over with a slot.
func (s *Slots) keepLevels(slot id.Slot, levels []*recordpb.BucketLevel) {
	for _, level := range levels {
		workspace := id.Workspace(level.GetWorkspace())
		if id.WorkspaceSlot(workspace) != slot {
			continue
		}
		if s.levels == nil {
			s.levels = make(map[id.Slot]map[id.Workspace]float64)
		}
		if s.levels[slot] == nil {
			s.levels[slot] = make(map[id.Workspace]float64)
		}
		s.levels[slot][workspace] = level.GetRequests()
		s.slots[slot].Fresh = false
	}
}

// slotLevels restates the buckets of a slot, by workspace.
func (s *Slots) slotLevels(slot id.Slot) []*recordpb.BucketLevel {
	var levels []*recordpb.BucketLevel
	for workspace, requests := range s.levels[slot] {
		levels = append(levels, &recordpb.BucketLevel{Workspace: string(workspace), Requests: requests})
	}
	slices.SortFunc(levels, func(a, b *recordpb.BucketLevel) int { return cmp.Compare(a.GetWorkspace(), b.GetWorkspace()) })

	return levels
}
