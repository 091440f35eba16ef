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

const scriptLength = 80

// The same records in the same order give the same state, however they were grouped into appends.
func TestStateDoesNotDependOnGroupingIntoAppends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t, scriptLength)
		positions := make([]id.Position, len(s.steps))
		indexes := map[uint64]uint64{0: 0}
		folder := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
		position := func(index int) id.Position { return positions[index] }
		for i := 0; i < len(s.steps); {
			offset := folder.NextOffset()
			var payload []byte
			for index := 0; i < len(s.steps) && s.steps[i].raw == nil; index++ {
				positions[i] = id.NewPosition(offset, index)
				indexes[uint64(positions[i])] = uint64(single(i))
				payload = append(payload, s.payload(s.steps[i], position)...)
				i++
				if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
					break
				}
			}
			if len(payload) == 0 {
				payload = s.steps[i].raw
				i++
			}
			folder.ApplyAppend(offset, payload)
		}
		require.Equal(t, state(s.folder.State, s.folder.NextOffset(), same),
			state(folder.State, folder.NextOffset(), func(position uint64) uint64 { return indexes[position] }))
	})
}

// A fold that starts late, from snapshots in the stream, agrees with the fold from the start.
func TestSnapshotAndTailGiveSameStateAsFullReplay(t *testing.T) {
	restored := 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t, scriptLength/4)
		for range 4 {
			pending := s.drawSnapshot()
			for len(pending) > 0 {
				if rapid.Bool().Draw(t, "between") {
					s.add(s.draw())

					continue
				}
				s.add(pending[0])
				pending = pending[1:]
				// The writer may die midway.
				if rapid.IntRange(0, 15).Draw(t, "dies") == 0 {
					break
				}
			}
		}
		want := state(s.folder.State, s.folder.NextOffset(), same)
		for first := 1; first < len(s.steps); first += 7 {
			late := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			for offset := first; offset < len(s.steps); offset++ {
				late.ApplyAppend(id.Offset(offset), s.payload(s.steps[offset], single))
			}
			for slot, got := range state(late.State, late.NextOffset(), same) {
				require.Equal(t, want[slot], got, "slot %d, read from offset %d", slot, first)
				restored++
			}
		}
	})
	require.Positive(t, restored)
	t.Logf("%d restored slots compared", restored)
}

// chunkLength is small so that snapshots have several chunks.
const chunkLength = 40

func (s *script) drawSnapshot() []step {
	slot := rapid.SampledFrom(scriptSlots()).Draw(s.t, "snapshot")
	data, err := proto.Marshal(s.folder.State.Snapshot(slot, s.folder.NextOffset()))
	if err != nil {
		s.t.Fatal(err)
	}
	count := (len(data) + chunkLength - 1) / chunkLength
	var steps []step
	for index := range count {
		rec := record.New("host-1")
		rec.Slot = uint32(slot)
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: rec.GetId()[:4] + "/" + string(rune('a'+len(s.steps)%26)),
			Index:    uint32(index),
			Count:    uint32(count),
			Next:     uint64(s.folder.NextOffset()),
			Data:     data[index*chunkLength : min(len(data), (index+1)*chunkLength)],
		}}
		if index > 0 {
			rec.GetSnapshotChunk().Snapshot = steps[0].rec.GetSnapshotChunk().GetSnapshot()
		}
		steps = append(steps, step{rec: rec, epoch: none})
	}

	return steps
}

// What every interleaving keeps: fences, order of turns, budgets and single intents.
func TestProgramsInvariants(t *testing.T) {
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t, 0)
		intents := make(map[string]bool)
		for range scriptLength {
			next := s.draw()
			before, calls := s.owners(), s.calls()
			budgets := s.budgets()
			verdict := s.add(next)
			checkBudgets(t, budgets, s.budgets(), next)
			s.checkTurns()
			if !verdict.Valid() || next.rec == nil {
				continue
			}
			valid++
			rec := placed(next, single)
			switch outcome := rec.GetOutcome(); {
			case rec.GetClaim() != nil || rec.GetRelease() != nil:
			case outcome.GetIntent() != 0:
				// Only the sender of the call knows its intent's position: it may write after the slot has moved.
				require.Equal(t, calls[outcome.GetKey()], id.Position(outcome.GetIntent()), "an outcome of another intent")
			default:
				owner := before[id.Slot(rec.GetSlot())]
				require.Equal(t, projection.SlotOwned, owner.State, "a write to a slot that nobody owns")
				require.Equal(t, owner.Owner, id.Host(rec.GetHost()), "a write of another host")
				require.Equal(t, owner.Epoch, id.Epoch(rec.GetEpoch()), "a write of a past owner")
			}
			if intent := rec.GetIntent(); intent != nil {
				require.False(t, intents[intent.GetKey()], "a second valid intent for %s", intent.GetKey())
				intents[intent.GetKey()] = true
			}
			if outcome := rec.GetOutcome(); outcome.GetNotRun() {
				require.True(t, intents[outcome.GetKey()], "an intent was freed that was not there")
				intents[outcome.GetKey()] = false
			}
		}
	})
	require.Positive(t, valid)
	t.Logf("%d valid records", valid)
}

func (s *script) calls() map[string]id.Position {
	calls := make(map[string]id.Position)
	for _, key := range scriptKeys {
		if call, ok := s.folder.State.Call(projection.CallKey{Workspace: "w", Service: "s", Key: key}); ok {
			calls[key] = call.Position
		}
	}

	return calls
}

func (s *script) owners() map[id.Slot]projection.SlotState {
	owners := make(map[id.Slot]projection.SlotState)
	for _, slot := range scriptSlots() {
		owners[slot] = s.folder.State.Slot(slot)
	}

	return owners
}

func (s *script) budgets() map[id.Program]projection.Program {
	budgets := make(map[id.Program]projection.Program)
	s.folder.State.ForEachProgram(func(p *projection.Program) bool {
		budgets[p.ID] = *p

		return true
	})

	return budgets
}

func checkBudgets(t *rapid.T, before, after map[id.Program]projection.Program, next step) {
	for name, was := range before {
		now, ok := after[name]
		require.True(t, ok, "program %s is gone", name)
		require.GreaterOrEqual(t, now.Used, was.Used, "tokens used of %s fell", name)
		require.GreaterOrEqual(t, now.UsedUpperBound, now.Used, "the mark of %s is below what it used", name)
		if next.rec.GetRelease() == nil {
			require.GreaterOrEqual(t, now.UsedUpperBound, was.UsedUpperBound, "the mark of %s fell without a release", name)
		}
		if next.rec.GetClaim() != nil && now.Used != was.Used {
			require.Equal(t, was.UsedUpperBound, now.Used, "a claim counts what was reserved of %s", name)
		}
	}
}

func (s *script) checkTurns() {
	s.folder.State.ForEachProgram(func(p *projection.Program) bool {
		for i, turn := range p.Turns {
			require.Equal(s.t, uint32(i+1), turn.GetNumber(), "turns of %s", p.ID)
			require.Equal(s.t, string(p.ID), turn.GetProgram())
		}
		if p.Parent != "" && p.State == projection.ProgramOpen {
			parent, ok := s.folder.State.Program(p.Parent)
			require.True(s.t, ok && parent.State == projection.ProgramOpen, "%s is open below a program that ended", p.ID)
		}

		return true
	})
}
