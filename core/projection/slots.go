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

// Slot states of the state chart in slot.yaml.
const (
	// SlotUnowned is a slot that was never claimed.
	SlotUnowned statechart.State = "unowned"
	SlotOwned   statechart.State = "owned"
	// SlotReleased is a slot that its last owner has released.
	SlotReleased statechart.State = "released"
	// SlotUnknown is a slot whose records expired before this host read them.
	SlotUnknown statechart.State = "unknown"
)

// SlotState is the ownership of a slot.
type SlotState struct {
	Owner id.Host
	// Incarnation identifies the process of the owner that claimed the slot.
	Incarnation id.Incarnation
	Epoch       id.Epoch
	State       statechart.State
	// BucketsUnused is true as long as no owner can have granted requests from the slot's rate-limit buckets, which are then
	// full.
	BucketsUnused bool
	// ClaimCount counts the valid claims of the slot.
	ClaimCount int
	// LastRecord is the position of the latest valid record of the slot.
	LastRecord id.Position
}

// Slots is the ownership of all slots according to their claims and releases.
type Slots struct {
	slots            [id.SlotCount]SlotState
	lastRecordByHost map[id.Host]id.Position
	// releasedLevels are the levels, in requests, of the buckets that the last owner of a slot wrote into its release.
	releasedLevels map[id.Slot]map[id.Workspace]float64
}

// ReleasedBucketLevel returns the level, in requests, of a workspace's bucket when its slot was released, if it was.
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

// Owns reports whether host owns the slot and epoch is its current epoch.
func (s *Slots) Owns(host id.Host, slot id.Slot, epoch id.Epoch) bool {
	state := s.Slot(slot)

	return state.State == SlotOwned && state.Owner == host && state.Epoch == epoch
}

// ForEachHost calls visit for each host with the position of its latest record, valid or not.
func (s *Slots) ForEachHost(visit func(id.Host, id.Position)) {
	for host, pos := range s.lastRecordByHost {
		visit(host, pos)
	}
}

func (s *Slots) recordHostPosition(pos id.Position, host id.Host) {
	if s.lastRecordByHost == nil {
		s.lastRecordByHost = make(map[id.Host]id.Position)
	}
	s.lastRecordByHost[host] = pos
}

// checkEpoch returns StaleEpoch for a record that is not from the slot's current owner and epoch, or Valid.
func (s *Slots) checkEpoch(slot id.Slot, rec *record.Record) RejectReason {
	if !s.Owns(id.Host(rec.GetHost()), slot, id.Epoch(rec.GetEpoch())) {
		return StaleEpoch
	}

	return Valid
}

// ownershipChange holds the fields of a claim or release that concern one slot. baseEpoch is the epoch on which it is based.
type ownershipChange struct {
	host        id.Host
	incarnation id.Incarnation
	slot        id.Slot
	baseEpoch   id.Epoch
	forced      bool
}

// claimSlot makes a host the owner of a slot if nobody has claimed it since the base epoch; only a forced claim takes a
// slot that is owned.
func (s *Slots) claimSlot(pos id.Position, change ownershipChange) bool {
	state := s.Slot(change.slot)
	if state.Epoch != change.baseEpoch || (!change.forced && state.State == SlotOwned) {
		return false
	}
	next, err := slotChart.Next(state.State, "claim")
	if err != nil {
		return false
	}
	if state.State == SlotOwned {
		// The levels are out of date once an owner has granted requests from them.
		delete(s.releasedLevels, change.slot)
	}
	s.slots[change.slot] = SlotState{
		Owner:         change.host,
		Incarnation:   change.incarnation,
		Epoch:         pos,
		State:         next,
		BucketsUnused: state.State == SlotUnowned || (state.State == SlotReleased && state.BucketsUnused),
		ClaimCount:    state.ClaimCount + 1,
		LastRecord:    pos,
	}

	return true
}

// releaseSlot ends a host's ownership if the slot still has the epoch of the release.
func (s *Slots) releaseSlot(pos id.Position, change ownershipChange) bool {
	state := s.Slot(change.slot)
	if state.Owner != change.host || state.Epoch != change.baseEpoch {
		return false
	}
	next, err := slotChart.Next(state.State, "release")
	if err != nil {
		return false
	}
	s.slots[change.slot].State = next
	s.slots[change.slot].LastRecord = pos

	return true
}

// saveBucketLevels stores the bucket levels that an owner wrote into the release of a slot.
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

// bucketLevels returns the stored bucket levels of a slot, sorted by workspace.
func (s *Slots) bucketLevels(slot id.Slot) []*recordpb.BucketLevel {
	var levels []*recordpb.BucketLevel
	for workspace, requests := range s.releasedLevels[slot] {
		levels = append(levels, &recordpb.BucketLevel{Workspace: string(workspace), Requests: requests})
	}
	slices.SortFunc(levels, func(a, b *recordpb.BucketLevel) int { return cmp.Compare(a.GetWorkspace(), b.GetWorkspace()) })

	return levels
}
