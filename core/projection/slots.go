package projection

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
	// Incarnation identifies the owner's process.
	Incarnation id.Incarnation
	Epoch       id.Epoch
	State       statechart.State
	// BucketsUnused is set while no owner may have granted anything from the slot's buckets.
	BucketsUnused bool
	// ClaimCount counts the claims so far.
	ClaimCount int
	// LastRecord is the position of the latest valid record of the slot.
	LastRecord id.Position
}

// Slots is the fold of all claims and releases.
type Slots struct {
	slots           [id.SlotCount]SlotState
	lastHostRecords map[id.Host]id.Position
	// releasedLevels are the buckets that the last owner of a slot handed over.
	releasedLevels map[id.Slot]map[id.Workspace]float64
}

// ReleasedBucketLevel returns what a workspace's bucket held when its slot was released, if it was.
func (s *Slots) ReleasedBucketLevel(workspace id.Workspace) (float64, bool) {
	level, ok := s.releasedLevels[id.WorkspaceSlot(workspace)][workspace]

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

// ForEachHost calls visit for each host with the position of its latest record, valid or not.
func (s *Slots) ForEachHost(visit func(id.Host, id.Position)) {
	for host, pos := range s.lastHostRecords {
		visit(host, pos)
	}
}

func (s *Slots) recordHostPosition(pos id.Position, host id.Host) {
	if s.lastHostRecords == nil {
		s.lastHostRecords = make(map[id.Host]id.Position)
	}
	s.lastHostRecords[host] = pos
}

// checkEpoch returns why a record of a slot's owner is void, or Valid.
func (s *Slots) checkEpoch(slot id.Slot, rec *record.Record) RejectReason {
	if !s.Owns(id.Host(rec.GetHost()), slot, id.Epoch(rec.GetEpoch())) {
		return StaleEpoch
	}

	return Valid
}

// slotClaim is what a claim says about one slot.
type slotClaim struct {
	host        id.Host
	incarnation id.Incarnation
	slot        id.Slot
	base        id.Epoch
	forced      bool
}

// claimSlot gives a slot to a host if nobody has claimed it since the epoch on which the claimSlot is based.
func (s *Slots) claimSlot(pos id.Position, terms slotClaim) bool {
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
		delete(s.releasedLevels, terms.slot)
	}
	s.slots[terms.slot] = SlotState{
		Owner:         terms.host,
		Incarnation:   terms.incarnation,
		Epoch:         pos,
		State:         next,
		BucketsUnused: state.State == SlotUnowned || (state.State == SlotReleased && state.BucketsUnused),
		ClaimCount:    state.ClaimCount + 1,
		LastRecord:    pos,
	}

	return true
}

// releaseSlot ends a host's ownership if it still has the epoch that the releaseSlot names.
func (s *Slots) releaseSlot(pos id.Position, terms slotClaim) bool {
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

// saveBucketLevels notes the buckets that a release hands over with a slot.
func (s *Slots) saveBucketLevels(slot id.Slot, levels []*recordpb.BucketLevel) {
	for _, level := range levels {
		workspace := id.Workspace(level.GetWorkspace())
		if id.WorkspaceSlot(workspace) != slot {
			continue
		}
		if s.releasedLevels == nil {
			s.releasedLevels = make(map[id.Slot]map[id.Workspace]float64)
		}
		if s.releasedLevels[slot] == nil {
			s.releasedLevels[slot] = make(map[id.Workspace]float64)
		}
		s.releasedLevels[slot][workspace] = level.GetRequests()
		s.slots[slot].BucketsUnused = false
	}
}

// bucketLevels restates the buckets of a slot, by workspace.
func (s *Slots) bucketLevels(slot id.Slot) []*recordpb.BucketLevel {
	var levels []*recordpb.BucketLevel
	for workspace, requests := range s.releasedLevels[slot] {
		levels = append(levels, &recordpb.BucketLevel{Workspace: string(workspace), Requests: requests})
	}
	slices.SortFunc(levels, func(a, b *recordpb.BucketLevel) int { return cmp.Compare(a.GetWorkspace(), b.GetWorkspace()) })

	return levels
}
