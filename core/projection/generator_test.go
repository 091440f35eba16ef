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

// step is one record of a script; positions in it are indexes of earlier steps.
type step struct {
	rec *record.Record
	// raw replaces the record by bytes that may not decode.
	raw []byte
	// epoch and bases refer to steps; none stands for no claim yet.
	epoch int
	bases []int
}

const none = -1

var (
	scriptHosts    = []string{"host-1", "host-2", "host-3"}
	scriptPrograms = []string{"a", "b", "a.x", "a.x.y", "b.x"}
	scriptKeys     = []string{"k1", "k2"}
)

func scriptSlots() []id.Slot {
	slots := []id.Slot{id.ProgramSlot("a"), id.ProgramSlot("b")}
	for _, key := range scriptKeys {
		slots = append(slots, id.CallSlot("w", key))
	}

	return slots
}

// script draws records of three hosts that now and then write with an old epoch, twice, or garbage.
// A fold with one record an append serves as the hosts' knowledge: there the offset is the step's index.
type script struct {
	t      *rapid.T
	steps  []step
	claims map[id.Slot][]int
	folder projection.Applier[*projection.Programs]
}

func drawScript(t *rapid.T, length int) *script {
	s := &script{t: t, claims: make(map[id.Slot][]int), folder: projection.Applier[*projection.Programs]{State: &projection.Programs{}}}
	for range length {
		s.add(s.draw())
	}

	return s
}

func (s *script) add(next step) projection.ApplyResult {
	index := len(s.steps)
	s.steps = append(s.steps, next)
	verdicts := s.folder.ApplyAppend(id.Offset(index), s.payload(next, single))
	if len(verdicts) == 0 {
		return projection.ApplyResult{Reason: projection.Malformed}
	}
	for _, slot := range scriptSlots() {
		if epoch := s.folder.State.Slot(slot).Epoch; epoch != 0 && epoch.Offset() == id.Offset(index) {
			s.claims[slot] = append(s.claims[slot], index)
		}
	}

	return verdicts[0]
}

func single(index int) id.Position { return id.NewPosition(id.Offset(index), 0) }

// payload encodes a step for a stream in which position says where each step is.
func (s *script) payload(next step, position func(int) id.Position) []byte {
	if next.raw != nil {
		return next.raw
	}
	data, err := record.EncodeOne(placed(next, position))
	if err != nil {
		s.t.Fatal(err)
	}

	return data
}

func placed(next step, position func(int) id.Position) *record.Record {
	at := func(index int) uint64 {
		if index == none {
			return 0
		}

		return uint64(position(index))
	}
	rec := proto.CloneOf(next.rec)
	rec.Epoch = at(next.epoch)
	var epochs []uint64
	for _, base := range next.bases {
		epochs = append(epochs, at(base))
	}
	switch body := rec.GetBody().(type) {
	case *recordpb.Record_Claim:
		body.Claim.Epochs = epochs
	case *recordpb.Record_Release:
		body.Release.Epochs = epochs
	case *recordpb.Record_Outcome:
		if freed := body.Outcome.GetIntent(); freed != 0 {
			body.Outcome.Intent = uint64(position(int(id.Position(freed).Offset())))
		}
	}

	return rec
}

func (s *script) draw() step {
	kind := rapid.SampledFrom([]string{
		"claim", "claim", "release", "open", "open", "turn", "turn", "turn", "mark", "end",
		"intent", "outcome", "free", "copy", "copy", "garbage", "newer",
	}).Draw(s.t, "kind")
	switch kind {
	case "claim", "release":
		return s.drawOwnership(kind == "claim")
	case "copy":
		if len(s.steps) > 0 {
			return s.steps[rapid.IntRange(0, len(s.steps)-1).Draw(s.t, "copied")]
		}
	case "garbage":
		return step{raw: []byte{0xff, 0x01}}
	case "newer":
		next := s.fenced(id.ProgramSlot("a"))
		next.rec.Version = record.MaxVersion + 1

		return next
	}

	return s.drawBody(kind)
}

func (s *script) host() string { return rapid.SampledFrom(scriptHosts).Draw(s.t, "host") }

func (s *script) record(host string) *record.Record {
	rec := record.New(id.Host(host))
	rec.Id = fmt.Sprintf("r%d", len(s.steps))

	return rec
}

// base returns the latest claim of a slot, or now and then an older one.
func (s *script) base(slot id.Slot) int {
	claims := s.claims[slot]
	if len(claims) == 0 {
		return none
	}
	if rapid.IntRange(0, 7).Draw(s.t, "stale") == 0 {
		return rapid.SampledFrom(claims).Draw(s.t, "claim")
	}

	return claims[len(claims)-1]
}

func (s *script) drawOwnership(claim bool) step {
	next := step{rec: s.record(s.host()), epoch: none}
	var numbers []uint32
	for _, slot := range scriptSlots() {
		if rapid.Bool().Draw(s.t, "take") {
			numbers = append(numbers, uint32(slot))
			next.bases = append(next.bases, s.base(slot))
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

// fenced returns a record of the slot's owner, or now and then of another host.
func (s *script) fenced(slot id.Slot) step {
	host := string(s.folder.State.Slot(slot).Owner)
	if rapid.IntRange(0, 7).Draw(s.t, "other") == 0 {
		host = s.host()
	}
	next := step{rec: s.record(host), epoch: s.base(slot)}
	next.rec.Slot = uint32(slot)

	return next
}

func (s *script) drawBody(kind string) step {
	key := rapid.SampledFrom(scriptKeys).Draw(s.t, "key")
	program := rapid.SampledFrom(scriptPrograms).Draw(s.t, "program")
	tokens := rapid.Int64Range(0, 50).Draw(s.t, "tokens")
	next := s.fenced(id.ProgramSlot(id.Program(program)))
	switch kind {
	case "intent":
		next = s.fenced(id.CallSlot("w", key))
		next.rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Workspace: "w", Service: "s", Key: key}}
	case "outcome":
		next = s.fenced(id.CallSlot("w", key))
		next.rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "w", Service: "s", Key: key, Status: 200, Unknown: rapid.Bool().Draw(s.t, "unknown"),
		}}
	case "free":
		next = s.fenced(id.CallSlot("w", key))
		position := single(rapid.IntRange(0, len(s.steps)).Draw(s.t, "freed"))
		if call, ok := s.folder.State.Call(projection.CallKey{Workspace: "w", Service: "s", Key: key}); ok {
			position = call.Position
		}
		next.rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "w", Service: "s", Key: key, NotRun: true, Intent: uint64(position),
		}}
	case "turn":
		number := uint32(1)
		if state, ok := s.folder.State.Program(id.Program(program)); ok {
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

// state restates the script's slots, with positions replaced by what index makes of them.
func state(programs *projection.Programs, next id.Offset, index func(uint64) uint64) map[id.Slot]string {
	out := make(map[id.Slot]string)
	for _, slot := range scriptSlots() {
		snapshot := programs.Snapshot(slot, next)
		if snapshot == nil {
			continue
		}
		snapshot = proto.CloneOf(snapshot)
		// A late starter also lists copies of records that were valid before it started; they change nothing.
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

func same(position uint64) uint64 { return position }
