package projection_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// programsStream appends records of host-1, each in an append of its own, and applies them.
type programsStream struct {
	t       *testing.T
	applier projection.Applier[*projection.Programs]
	epochs  map[id.Slot]id.Epoch
	// bypassApplier applies records to the state directly, so that millions of empty appends cost nothing; nextOffset is
	// the next offset then.
	bypassApplier bool
	nextOffset    id.Offset
}

func newProgramsStream(t *testing.T) *programsStream {
	return &programsStream{t: t, applier: projection.Applier[*projection.Programs]{State: &projection.Programs{}}, epochs: make(map[id.Slot]id.Epoch)}
}

func (s *programsStream) append(rec *record.Record) projection.RejectReason {
	s.t.Helper()
	if s.bypassApplier {
		s.nextOffset++

		return s.applier.State.Apply(id.NewPosition(s.nextOffset-1, 0), rec)
	}
	data, err := record.EncodeOne(rec)
	require.NoError(s.t, err)

	return s.applier.ApplyAppend(s.applier.NextOffset(), data)[0].Reason
}

// skipAppends appends empty payloads.
func (s *programsStream) skipAppends(appends id.Offset) {
	if s.bypassApplier {
		s.nextOffset += appends

		return
	}
	for range appends {
		s.applier.ApplyAppend(s.applier.NextOffset(), nil)
	}
}

func (s *programsStream) claim(slot id.Slot) {
	s.t.Helper()
	rec := record.New("host-1")
	rec.Born = uint64(s.applier.NextOffset())
	rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: []uint32{uint32(slot)}, Epochs: []uint64{uint64(s.epochs[slot])}, Forced: true,
	}}
	require.Equal(s.t, projection.Valid, s.append(rec))
	s.epochs[slot] = s.applier.State.Slot(slot).Epoch
}

func (s *programsStream) fenced(slot id.Slot) *record.Record {
	rec := record.NewFenced("host-1", slot, s.epochs[slot])
	rec.Born = uint64(s.applier.NextOffset())

	return rec
}

func (s *programsStream) open(program, parent string) *record.Record {
	rec := s.fenced(id.ProgramSlot(id.Program(program)))
	rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: program, Workspace: "w", Parent: parent}}

	return rec
}

func (s *programsStream) end(program string) *record.Record {
	rec := s.fenced(id.ProgramSlot(id.Program(program)))
	rec.Body = &recordpb.Record_ProgramEnd{ProgramEnd: &recordpb.ProgramEnd{Program: program, Reason: "ended"}}

	return rec
}

func (s *programsStream) turn(program string) *record.Record {
	rec := s.fenced(id.ProgramSlot(id.Program(program)))
	rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{Program: program, Number: 1}}

	return rec
}

func (s *programsStream) intent() *record.Record {
	rec := s.fenced(id.CallSlot("w", "k"))
	rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Workspace: "w", Service: "s", Key: "k"}}

	return rec
}

func TestEndedProgramsAndOldCallsExpire(t *testing.T) {
	s := newProgramsStream(t)
	s.bypassApplier = true
	s.claim(id.ProgramSlot("a"))
	s.claim(id.CallSlot("w", "k"))
	require.Equal(t, projection.Valid, s.append(s.open("a", "")))
	require.Equal(t, projection.Valid, s.append(s.open("a.x", "a")))
	require.Equal(t, projection.Valid, s.append(s.intent()))
	require.Equal(t, projection.Valid, s.append(s.end("a")))
	require.Equal(t, projection.ProgramNotOpen, s.append(s.turn("a.x")), "the end of a program ends its sub-agents")

	s.skipAppends(projection.EndedProgramWindowAppends - 2)
	require.Equal(t, projection.ProgramNotOpen, s.append(s.turn("a")))
	require.Equal(t, projection.NoSuchProgram, s.append(s.turn("a")))
	require.Empty(t, s.applier.State.SlotPrograms(id.ProgramSlot("a")))

	require.Equal(t, projection.IntentExists, s.append(s.intent()))
	s.skipAppends(projection.CallWindowAppends - projection.EndedProgramWindowAppends)
	require.Equal(t, projection.Valid, s.append(s.intent()))
}

func TestExpiredProgramsOfIdleSlotsAreDropped(t *testing.T) {
	s := newProgramsStream(t)
	s.bypassApplier = true
	s.claim(id.ProgramSlot("a"))
	require.Equal(t, projection.Valid, s.append(s.open("a", "")))
	require.Equal(t, projection.Valid, s.append(s.end("a")))
	s.skipAppends(projection.EndedProgramWindowAppends)
	for range id.SlotCount {
		s.append(s.turn("b"))
	}
	_, ok := s.applier.State.Program("a")
	require.False(t, ok)
}

func TestRecordsAppendedLongAfterCreationAreRejected(t *testing.T) {
	s := newProgramsStream(t)
	s.claim(id.ProgramSlot("a"))
	late, later := s.open("a", ""), s.open("a", "")
	s.skipAppends(projection.DedupWindowAppends)
	require.Equal(t, projection.Valid, s.append(late))
	require.Equal(t, projection.Duplicate, s.append(late))
	s.skipAppends(projection.DedupWindowAppends + 1)
	require.Equal(t, projection.Late, s.append(late), "a record is late before its id is forgotten")
	require.Equal(t, projection.Late, s.append(later))
}

func TestClaimAndProgramOpenInOneAppendAreValid(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	old := s.open("a", "")
	claim := record.New("host-2")
	claim.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: []uint32{uint32(slot)}, Epochs: []uint64{uint64(s.epochs[slot])}, Forced: true,
	}}
	next := s.applier.NextOffset()
	taken := record.NewFenced("host-2", slot, id.NewPosition(next, 0))
	taken.Body = s.open("a", "").GetBody()
	data, err := record.Encode([]*record.Record{claim, taken, old})
	require.NoError(t, err)
	results := s.applier.ApplyAppend(next, data)
	require.Equal(t, []projection.RejectReason{projection.Valid, projection.Valid, projection.StaleEpoch},
		[]projection.RejectReason{results[0].Reason, results[1].Reason, results[2].Reason})
}

func TestSnapshotOlderThanFirstReadRecordIsIgnored(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	data, err := proto.Marshal(s.applier.State.Snapshot(slot, s.applier.NextOffset()))
	require.NoError(t, err)
	late := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
	late.SkipTo(5)
	for _, next := range []id.Offset{4, 5} {
		rec := record.New("host-1")
		rec.Slot = uint32(slot)
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: rec.GetId(), Count: 1, Next: uint64(next), Data: data,
		}}
		payload, err := record.EncodeOne(rec)
		require.NoError(t, err)
		late.ApplyAppend(late.NextOffset(), payload)
		require.Equal(t, next < 5, late.State.NeedsSnapshot(slot), "a snapshot that includes the appends before %d", next)
	}
	require.Equal(t, projection.SlotOwned, late.State.Slot(slot).State)
}

func TestNewerAndCorruptRecordsAreReported(t *testing.T) {
	s := newProgramsStream(t)
	newer := s.open("a", "")
	newer.Version = record.MaxVersion + 1
	require.Equal(t, projection.UnknownVersion, s.append(newer))
	require.Empty(t, s.applier.ApplyAppend(1, []byte("not a batch")))
	require.Equal(t, projection.UnknownKind, s.append(s.claimAndNewFenced("b")))
	require.Equal(t, map[uint32]int{2: 1}, s.applier.UnknownVersions())
	require.Equal(t, 1, s.applier.CorruptAppends())
	var offsets []id.Offset
	for _, finding := range s.applier.Findings() {
		offsets = append(offsets, finding.Offset)
	}
	require.Equal(t, []id.Offset{0, 1, 3}, offsets)
}

func (s *programsStream) claimAndNewFenced(program id.Program) *record.Record {
	s.claim(id.ProgramSlot(program))

	return s.fenced(id.ProgramSlot(program))
}

func (s *programsStream) budgetMark(program string, tokens int64) *record.Record {
	rec := s.fenced(id.ProgramSlot(id.Program(program)))
	rec.Body = &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{Program: program, Tokens: tokens}}

	return rec
}

func TestTakeoverCountsReservedTokensAsUsed(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	require.Equal(t, projection.Valid, s.append(s.open("a", "")))
	require.Equal(t, projection.Valid, s.append(s.budgetMark("a", 100)))
	require.Equal(t, projection.Valid, s.append(s.budgetMark("a", 60)))
	program, ok := s.applier.State.Program("a")
	require.True(t, ok)
	require.Equal(t, id.Tokens(100), program.UsedUpperBound)
	require.Zero(t, program.Used)
	s.claim(slot)
	require.Equal(t, id.Tokens(100), program.Used, "the last owner may have spent all of it")

	require.Equal(t, projection.Valid, s.append(s.budgetMark("a", 150)))
	release := record.New("host-1")
	release.Body = &recordpb.Record_Release{Release: &recordpb.Release{
		Slots: []uint32{uint32(slot)}, Epochs: []uint64{uint64(s.epochs[slot])},
	}}
	require.Equal(t, projection.Valid, s.append(release))
	require.Equal(t, projection.StaleEpoch, s.append(s.turn("a")), "a call that was in flight at the release")
	s.claim(slot)
	require.Equal(t, id.Tokens(100), program.Used, "an owner releases a slot only after all calls have ended")
}

func TestSecondClaimOnSameEpochIsRejected(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	for i, want := range []projection.RejectReason{projection.Valid, projection.NotOwner} {
		rec := record.New(id.Host([]string{"host-2", "host-3"}[i]))
		rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
			Slots: []uint32{uint32(slot)}, Epochs: []uint64{uint64(s.epochs[slot])}, Forced: true,
		}}
		require.Equal(t, want, s.append(rec))
	}
	require.Equal(t, id.Host("host-2"), s.applier.State.Slot(slot).Owner)
}

func TestOutcomeReplacesOnlyUnknownOutcome(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	outcome := func(unknown bool) *record.Record {
		rec := s.fenced(slot)
		rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{Workspace: "w", Service: "s", Key: "k", Unknown: unknown}}

		return rec
	}
	require.Equal(t, projection.NoSuchIntent, s.append(outcome(false)))
	require.Equal(t, projection.Valid, s.append(s.intent()))
	require.Equal(t, projection.Valid, s.append(outcome(true)))
	require.Equal(t, projection.OutcomeExists, s.append(outcome(true)))
	require.Equal(t, projection.Valid, s.append(outcome(false)))
	require.Equal(t, projection.OutcomeExists, s.append(outcome(false)))
	require.Equal(t, projection.OutcomeExists, s.append(outcome(true)))
}

// snapshotChunk returns one snapshotChunk of a snapshot of a slot, which includes the appends before next.
func (s *programsStream) snapshotChunk(slot id.Slot, name string, index, count uint32, next id.Offset, data []byte) *record.Record {
	rec := record.New("host-1")
	rec.Slot = uint32(slot)
	rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
		Snapshot: name, Index: index, Count: count, Next: uint64(next), Data: data,
	}}

	return rec
}

func TestCopyOfRejectedRecordIsDuplicateAfterSnapshotRestore(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	early := s.open("a.x", "a")
	require.Equal(t, projection.NoSuchProgram, s.append(early), "its parent is not open yet")
	require.Equal(t, projection.Valid, s.append(s.open("a", "")))
	next := s.applier.NextOffset()
	data, err := proto.Marshal(s.applier.State.Snapshot(slot, next))
	require.NoError(t, err)
	late := newProgramsStream(t)
	late.applier.SkipTo(next)
	for _, reader := range []*programsStream{s, late} {
		reader.append(s.snapshotChunk(slot, "s", 0, 1, next, data))
		require.Equal(t, projection.Duplicate, reader.append(early))
		_, ok := reader.applier.State.Program("a.x")
		require.False(t, ok)
	}
}

func TestSnapshotRestoresOnlyFromAllChunksInOrder(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.ProgramSlot("a")
	s.claim(slot)
	next := s.applier.NextOffset()
	data, err := proto.Marshal(s.applier.State.Snapshot(slot, next))
	require.NoError(t, err)
	half := len(data) / 2
	late := newProgramsStream(t)
	late.applier.SkipTo(next)
	require.Equal(t, projection.OutOfOrder, late.append(s.snapshotChunk(slot, "x", 1, 2, next, data[half:])))
	require.Equal(t, projection.Valid, late.append(s.snapshotChunk(slot, "x", 0, 2, next, data[:half])))
	require.True(t, late.applier.State.NeedsSnapshot(slot), "the writer crashed before the second chunk")
	late.skipAppends(projection.DedupWindowAppends + 1)
	again := s.snapshotChunk(slot, "x", 1, 2, next, data[half:])
	again.Born = uint64(late.applier.NextOffset())
	require.Equal(t, projection.OutOfOrder, late.append(again), "an incomplete snapshot is dropped")
	for index, part := range [][]byte{data[:half], data[half:]} {
		rec := s.snapshotChunk(slot, "y", uint32(index), 2, next, part)
		rec.Born = uint64(late.applier.NextOffset())
		require.True(t, late.applier.State.NeedsSnapshot(slot))
		require.Equal(t, projection.Valid, late.append(rec))
	}
	require.Equal(t, s.applier.State.Slot(slot), late.applier.State.Slot(slot))
}

func TestFreedIntentAllowsOneNewIntent(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	free := func(position id.Position) *record.Record {
		rec := s.fenced(slot)
		rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "w", Service: "s", Key: "k", NotRun: true, Intent: uint64(position),
		}}

		return rec
	}
	first := id.NewPosition(s.applier.NextOffset(), 0)
	require.Equal(t, projection.Valid, s.append(s.intent()))
	require.Equal(t, projection.NoSuchIntent, s.append(free(0)), "freeing an intent needs its position")
	require.Equal(t, projection.NoSuchIntent, s.append(free(first+1)))
	require.Equal(t, projection.Valid, s.append(free(first)))
	require.Equal(t, projection.Valid, s.append(s.intent()))
	require.Equal(t, projection.NoSuchIntent, s.append(free(first)), "a copy frees no later intent")
}
