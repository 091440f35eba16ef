package projection_test

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// generatedRecord is one generated record; positions in it are indexes of earlier generated records.
type generatedRecord struct {
	rec *record.Record
	// raw is the payload in place of rec, of bytes that may not decode.
	raw []byte
	// epochIndex and claimIndexes are indexes of generated records; noClaim stands for a slot without a claim.
	epochIndex   int
	claimIndexes []int
}

const noClaim = -1

var (
	generatedHosts    = []string{"host-1", "host-2", "host-3"}
	generatedPrograms = []string{"a", "b", "a.x", "a.x.y", "b.x"}
	generatedKeys     = []string{"k1", "k2"}
)

func generatedSlots() []id.Slot {
	slots := []id.Slot{id.ProgramSlot("a"), id.ProgramSlot("b")}
	for _, key := range generatedKeys {
		slots = append(slots, id.CallSlot("w", key))
	}

	return slots
}

// recordGenerator draws records of three hosts, some of them with an old epoch, duplicated or corrupt.
// The hosts know the state of an applier that gets one record per append, so that the offset is the record's index.
type recordGenerator struct {
	t         *rapid.T
	generated []generatedRecord
	claims    map[id.Slot][]int
	applier   projection.Applier[*projection.Programs]
}

func generateRecords(t *rapid.T, length int) *recordGenerator {
	s := &recordGenerator{t: t, claims: make(map[id.Slot][]int), applier: projection.Applier[*projection.Programs]{State: &projection.Programs{}}}
	for range length {
		s.add(s.drawRecord())
	}

	return s
}

func (s *recordGenerator) add(next generatedRecord) projection.ApplyResult {
	index := len(s.generated)
	s.generated = append(s.generated, next)
	results := s.applier.ApplyAppend(id.Offset(index), s.encode(next, soleRecordPosition))
	if len(results) == 0 {
		return projection.ApplyResult{Reason: projection.Malformed}
	}
	for _, slot := range generatedSlots() {
		if epoch := s.applier.State.Slot(slot).Epoch; epoch != 0 && epoch.Offset() == id.Offset(index) {
			s.claims[slot] = append(s.claims[slot], index)
		}
	}

	return results[0]
}

func soleRecordPosition(index int) id.Position { return id.NewPosition(id.Offset(index), 0) }

// encode encodes a generated record for a stream in which position returns the position of the record at an index.
func (s *recordGenerator) encode(next generatedRecord, position func(int) id.Position) []byte {
	if next.raw != nil {
		return next.raw
	}
	data, err := record.EncodeOne(withPositions(next, position))
	if err != nil {
		s.t.Fatal(err)
	}

	return data
}

func withPositions(next generatedRecord, position func(int) id.Position) *record.Record {
	at := func(index int) uint64 {
		if index == noClaim {
			return 0
		}

		return uint64(position(index))
	}
	rec := proto.CloneOf(next.rec)
	rec.Epoch = at(next.epochIndex)
	var epochs []uint64
	for _, base := range next.claimIndexes {
		epochs = append(epochs, at(base))
	}
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_Claim:
		body.Claim.Epochs = epochs
	case *recordpb.Record_Release:
		body.Release.Epochs = epochs
	case *recordpb.Record_Outcome:
		if intent := body.Outcome.GetIntent(); intent != 0 {
			body.Outcome.Intent = uint64(position(int(id.Position(intent).Offset())))
		}
	}

	return rec
}

func (s *recordGenerator) drawRecord() generatedRecord {
	kind := rapid.SampledFrom([]string{
		"claim", "claim", "release", "open", "open", "turn", "turn", "turn", "mark", "end",
		"intent", "outcome", "free", "copy", "copy", "garbage", "newer",
	}).Draw(s.t, "kind")
	switch kind {
	case "claim", "release":
		return s.drawOwnership(kind == "claim")
	case "copy":
		if len(s.generated) > 0 {
			return s.generated[rapid.IntRange(0, len(s.generated)-1).Draw(s.t, "copied")]
		}
	case "garbage":
		return generatedRecord{raw: []byte{0xff, 0x01}}
	case "newer":
		next := s.drawFenced(id.ProgramSlot("a"))
		next.rec.Version = record.MaxVersion + 1

		return next
	}

	return s.drawBody(kind)
}

func (s *recordGenerator) drawHost() string {
	return rapid.SampledFrom(generatedHosts).Draw(s.t, "host")
}

func (s *recordGenerator) newRecord(host string) *record.Record {
	rec := record.New(id.Host(host))
	rec.Id = fmt.Sprintf("r%d", len(s.generated))

	return rec
}

// drawClaimIndex returns the index of the latest claim of a slot, or in one of 8 draws of any claim of it.
func (s *recordGenerator) drawClaimIndex(slot id.Slot) int {
	claims := s.claims[slot]
	if len(claims) == 0 {
		return noClaim
	}
	if rapid.IntRange(0, 7).Draw(s.t, "stale") == 0 {
		return rapid.SampledFrom(claims).Draw(s.t, "claim")
	}

	return claims[len(claims)-1]
}

func (s *recordGenerator) drawOwnership(claim bool) generatedRecord {
	next := generatedRecord{rec: s.newRecord(s.drawHost()), epochIndex: noClaim}
	var numbers []uint32
	for _, slot := range generatedSlots() {
		if rapid.Bool().Draw(s.t, "take") {
			numbers = append(numbers, uint32(slot))
			next.claimIndexes = append(next.claimIndexes, s.drawClaimIndex(slot))
		}
	}
	next.rec.Body = &recordpb.Record_Release{Release: &recordpb.Release{Slots: numbers}}
	if claim {
		next.rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
			Slots: numbers, Forced: rapid.Bool().Draw(s.t, "forced"), Run: "run",
		}}
	}

	return next
}

// drawFenced returns a record of the slot's owner, or in one of 8 draws of any host.
func (s *recordGenerator) drawFenced(slot id.Slot) generatedRecord {
	host := string(s.applier.State.Slot(slot).Owner)
	if rapid.IntRange(0, 7).Draw(s.t, "other") == 0 {
		host = s.drawHost()
	}
	next := generatedRecord{rec: s.newRecord(host), epochIndex: s.drawClaimIndex(slot)}
	next.rec.Slot = uint32(slot)

	return next
}

func (s *recordGenerator) drawBody(kind string) generatedRecord {
	key := rapid.SampledFrom(generatedKeys).Draw(s.t, "key")
	program := rapid.SampledFrom(generatedPrograms).Draw(s.t, "program")
	tokens := rapid.Int64Range(0, 50).Draw(s.t, "tokens")
	next := s.drawFenced(id.ProgramSlot(id.Program(program)))
	switch kind {
	case "intent":
		next = s.drawFenced(id.CallSlot("w", key))
		next.rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Workspace: "w", Service: "s", Key: key}}
	case "outcome":
		next = s.drawFenced(id.CallSlot("w", key))
		next.rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "w", Service: "s", Key: key, Status: 200, Unknown: rapid.Bool().Draw(s.t, "unknown"),
		}}
	case "free":
		next = s.drawFenced(id.CallSlot("w", key))
		position := soleRecordPosition(rapid.IntRange(0, len(s.generated)).Draw(s.t, "freed"))
		if call, ok := s.applier.State.Call(projection.CallKey{Workspace: "w", Service: "s", Key: key}); ok {
			position = call.Position
		}
		next.rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "w", Service: "s", Key: key, NotRun: true, Intent: uint64(position),
		}}
	case "turn":
		number := uint32(1)
		if state, ok := s.applier.State.Program(id.Program(program)); ok {
			number = uint32(len(state.Turns)) + rapid.SampledFrom([]uint32{0, 1, 1, 1, 2}).Draw(s.t, "number")
		}
		next.rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{Program: program, Number: number, PromptTokens: tokens}}
	case "mark":
		next.rec.Body = &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{Program: program, Tokens: tokens * 4}}
	case "end":
		next.rec.Body = &recordpb.Record_ProgramEnd{ProgramEnd: &recordpb.ProgramEnd{Program: program, Reason: "ended"}}
	default:
		parent := ""
		if root := id.Program(program).Root(); string(root) != program {
			parent = program[:len(program)-2]
		}
		next.rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{
			Program: program, Workspace: "w", Parent: parent, BudgetTokens: 1000,
		}}
	}

	return next
}

// encodeSlotStates returns encoded snapshots of the generated slots, with each position replaced by its index.
func encodeSlotStates(programs *projection.Programs, next id.Offset, index func(uint64) uint64) map[id.Slot]string {
	out := make(map[id.Slot]string)
	for _, slot := range generatedSlots() {
		snapshot := programs.Snapshot(slot, next)
		if snapshot == nil {
			continue
		}
		snapshot = proto.CloneOf(snapshot)
		// A restored state also lists copies of records that were valid before its snapshot; they change nothing.
		snapshot.Voids = nil
		snapshot.Epoch, snapshot.LastRecord = index(snapshot.GetEpoch()), index(snapshot.GetLastRecord())
		for _, program := range snapshot.GetPrograms() {
			program.LastRecord, program.Ended = index(program.GetLastRecord()), index(program.GetEnded())
		}
		for _, call := range snapshot.GetCalls() {
			call.Position, call.Epoch = index(call.GetPosition()), index(call.GetEpoch())
		}
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
		if err != nil {
			panic(err)
		}
		out[slot] = string(data)
	}

	return out
}

func identity(position uint64) uint64 { return position }
