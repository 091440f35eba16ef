package projection_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

const generatedRecordCount = 80

// The same records in the same order give the same state, however they were grouped into appends.
func TestStateDoesNotDependOnGroupingIntoAppends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := generateRecords(t, generatedRecordCount)
		positions := make([]id.Position, len(s.generated))
		indexes := map[uint64]uint64{0: 0}
		applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
		position := func(index int) id.Position { return positions[index] }
		for i := 0; i < len(s.generated); {
			offset := applier.NextOffset()
			var payload []byte
			for index := 0; i < len(s.generated) && s.generated[i].raw == nil; index++ {
				positions[i] = id.NewPosition(offset, index)
				indexes[uint64(positions[i])] = uint64(soleRecordPosition(i))
				payload = append(payload, s.encode(s.generated[i], position)...)
				i++
				if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
					break
				}
			}
			if len(payload) == 0 {
				payload = s.generated[i].raw
				i++
			}
			applier.ApplyAppend(offset, payload)
		}
		require.Equal(t, encodeSlotStates(s.applier.State, s.applier.NextOffset(), identity),
			encodeSlotStates(applier.State, applier.NextOffset(), func(position uint64) uint64 { return indexes[position] }))
	})
}

// A reader that starts late and restores snapshots from the stream gets the same state as one that reads from the start.
func TestSnapshotAndTailGiveSameStateAsFullReplay(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		s := generateRecords(t, generatedRecordCount/4)
		for range 4 {
			pending := s.drawSnapshot()
			for len(pending) > 0 {
				if rapid.Bool().Draw(t, "between") {
					s.add(s.drawRecord())

					continue
				}
				s.add(pending[0])
				pending = pending[1:]
				// The writer may crash before the last chunk.
				if rapid.IntRange(0, 15).Draw(t, "dies") == 0 {
					break
				}
			}
		}
		want := encodeSlotStates(s.applier.State, s.applier.NextOffset(), identity)
		for first := 1; first < len(s.generated); first += 7 {
			late := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			for offset := first; offset < len(s.generated); offset++ {
				late.ApplyAppend(id.Offset(offset), s.encode(s.generated[offset], soleRecordPosition))
			}
			for slot, got := range encodeSlotStates(late.State, late.NextOffset(), identity) {
				require.Equal(t, want[slot], got, "slot %d, read from offset %d", slot, first)
				restored++
			}
		}
	})
	require.Positive(t, restored)
	t.Logf("%d restored slots compared", restored)
}

// chunkBytes is small enough that snapshots have several chunks.
const chunkBytes = 40

func (s *recordGenerator) drawSnapshot() []generatedRecord {
	slot := rapid.SampledFrom(generatedSlots()).Draw(s.t, "snapshot")
	data, err := proto.Marshal(s.applier.State.Snapshot(slot, s.applier.NextOffset()))
	if err != nil {
		s.t.Fatal(err)
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	var chunks []generatedRecord
	for index := range count {
		rec := record.New("host-1")
		rec.Slot = uint32(slot)
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: rec.GetId()[:4] + "/" + string(rune('a'+len(s.generated)%26)),
			Index:    uint32(index),
			Count:    uint32(count),
			Next:     uint64(s.applier.NextOffset()),
			Data:     data[index*chunkBytes : min(len(data), (index+1)*chunkBytes)],
		}}
		if index > 0 {
			rec.GetSnapshotChunk().Snapshot = chunks[0].rec.GetSnapshotChunk().GetSnapshot()
		}
		chunks = append(chunks, generatedRecord{rec: rec, epochIndex: noClaim})
	}

	return chunks
}

// In every interleaving only the current owner writes, turns are in order, budgets hold and a key has at most one intent.
func TestProgramsInvariants(t *testing.T) {
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		s := generateRecords(t, 0)
		intents := make(map[string]bool)
		for range generatedRecordCount {
			next := s.drawRecord()
			before, calls := s.slotStates(), s.callPositions()
			programsBefore := s.copyPrograms()
			result := s.add(next)
			checkBudgets(t, programsBefore, s.copyPrograms(), next)
			s.checkTurns()
			if !result.Valid() || next.rec == nil {
				continue
			}
			valid++
			rec := withPositions(next, soleRecordPosition)
			switch outcome := rec.GetOutcome(); {
			case rec.GetClaim() != nil || rec.GetRelease() != nil:
			case outcome.GetIntent() != 0:
				// Only the sender of the call knows its intent's position: it may write after the slot has a new owner.
				require.Equal(t, calls[outcome.GetKey()], id.Position(outcome.GetIntent()), "an outcome of another intent")
			default:
				owner := before[id.Slot(rec.GetSlot())]
				require.Equal(t, projection.SlotOwned, owner.State, "a write to a slot without an owner")
				require.Equal(t, owner.Owner, id.Host(rec.GetHost()), "a write of another host")
				require.Equal(t, owner.Epoch, id.Epoch(rec.GetEpoch()), "a write of a past owner")
			}
			if intent := rec.GetIntent(); intent != nil {
				require.False(t, intents[intent.GetKey()], "a second valid intent for %s", intent.GetKey())
				intents[intent.GetKey()] = true
			}
			if outcome := rec.GetOutcome(); outcome.GetNotRun() {
				require.True(t, intents[outcome.GetKey()], "a freed intent does not exist")
				intents[outcome.GetKey()] = false
			}
		}
	})
	require.Positive(t, valid)
	t.Logf("%d valid records", valid)
}

func (s *recordGenerator) callPositions() map[string]id.Position {
	calls := make(map[string]id.Position)
	for _, key := range generatedKeys {
		if call, ok := s.applier.State.Call(projection.CallKey{Workspace: "w", Service: "s", Key: key}); ok {
			calls[key] = call.Position
		}
	}

	return calls
}

func (s *recordGenerator) slotStates() map[id.Slot]projection.SlotState {
	states := make(map[id.Slot]projection.SlotState)
	for _, slot := range generatedSlots() {
		states[slot] = s.applier.State.Slot(slot)
	}

	return states
}

func (s *recordGenerator) copyPrograms() map[id.Program]projection.Program {
	programs := make(map[id.Program]projection.Program)
	s.applier.State.ForEachProgram(func(p *projection.Program) bool {
		programs[p.ID] = *p

		return true
	})

	return programs
}

func checkBudgets(t *rapid.T, before, after map[id.Program]projection.Program, next generatedRecord) {
	for name, previous := range before {
		current, ok := after[name]
		require.True(t, ok, "program %s is gone", name)
		require.GreaterOrEqual(t, current.Used, previous.Used, "tokens used of %s fell", name)
		require.GreaterOrEqual(t, current.UsedUpperBound, current.Used, "the upper bound of %s is below its used tokens", name)
		if next.rec.GetRelease() == nil {
			require.GreaterOrEqual(t, current.UsedUpperBound, previous.UsedUpperBound, "the upper bound of %s fell without a release", name)
		}
		if next.rec.GetClaim() != nil && current.Used != previous.Used {
			require.Equal(t, previous.UsedUpperBound, current.Used, "a claim counts the reserved tokens of %s as used", name)
		}
	}
}

func (s *recordGenerator) checkTurns() {
	s.applier.State.ForEachProgram(func(p *projection.Program) bool {
		for i, turn := range p.Turns {
			require.Equal(s.t, uint32(i+1), turn.GetNumber(), "turns of %s", p.ID)
			require.Equal(s.t, string(p.ID), turn.GetProgram())
		}
		if p.Parent != "" && p.State == projection.ProgramOpen {
			parent, ok := s.applier.State.Program(p.Parent)
			require.True(s.t, ok && parent.State == projection.ProgramOpen, "%s is open below a program that ended", p.ID)
		}

		return true
	})
}
