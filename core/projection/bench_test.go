package projection_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

const (
	benchTurns = 110
	// benchTurnBytes is the size of the text of one of 110 turns of a history of 460,000 tokens, at 4 bytes per token.
	benchTurnBytes = 460_000 * 4 / benchTurns
	benchProgram   = "a"
)

func benchState(b testing.TB) *projection.Programs {
	b.Helper()
	state := &projection.Programs{}
	slot := id.ProgramSlot(benchProgram)
	claim := record.New("host-1")
	claim.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{Slots: []uint32{uint32(slot)}, Epochs: []uint64{0}}}
	require.Equal(b, projection.Valid, state.Apply(id.NewPosition(0, 0), claim))
	open := record.NewFenced("host-1", slot, state.Slot(slot).Epoch)
	open.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: benchProgram, Workspace: "w"}}
	require.Equal(b, projection.Valid, state.Apply(id.NewPosition(1, 0), open))

	return state
}

func benchTurn(state *projection.Programs, number, bytes int) *record.Record {
	slot := id.ProgramSlot(benchProgram)
	rec := record.NewFenced("host-1", slot, state.Slot(slot).Epoch)
	rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
		Program: benchProgram, Number: uint32(number), PromptTokens: 1000, CompletionTokens: 100, Upstream: "engine-1",
		Input:  []*recordpb.Message{{Role: "user", Content: strings.Repeat("q", bytes/2)}},
		Answer: &recordpb.Message{Role: "assistant", Content: strings.Repeat("a", bytes/2)},
	}}

	return rec
}

func benchSnapshot(b *testing.B) ([]byte, *projection.Programs) {
	b.Helper()
	state := benchState(b)
	for number := range benchTurns {
		rec := benchTurn(state, number+1, benchTurnBytes)
		require.Equal(b, projection.Valid, state.Apply(id.NewPosition(id.Offset(number+2), 0), rec))
	}
	data, err := proto.Marshal(state.Snapshot(id.ProgramSlot(benchProgram), benchTurns+2))
	require.NoError(b, err)

	return data, state
}

func BenchmarkSnapshotLongProgram(b *testing.B) {
	data, state := benchSnapshot(b)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := proto.Marshal(state.Snapshot(id.ProgramSlot(benchProgram), benchTurns+2)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRestoreLongProgram(b *testing.B) {
	data, _ := benchSnapshot(b)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		b.StopTimer()
		state := &projection.Programs{}
		state.Invalidate(1)
		b.StartTimer()
		if err := state.Restore(id.ProgramSlot(benchProgram), projection.SnapshotMeta{NextOffset: 1}, data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeRecords(b *testing.B) {
	state := benchState(b)
	for _, count := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			records := make([]*record.Record, count)
			for i := range records {
				records[i] = benchTurn(state, i, 1000)
			}
			b.ReportAllocs()
			for b.Loop() {
				data, err := record.Encode(records)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
			}
		})
	}
}

// BenchmarkIdlePrograms reports the memory per open program without turns, as the growth from few programs to many.
func BenchmarkIdlePrograms(b *testing.B) {
	const few, many = 20_000, 60_000
	for b.Loop() {
		state := &projection.Programs{}
		before := openPrograms(b, state, 0, few)
		after := openPrograms(b, state, few, many)
		b.ReportMetric(float64(after-before)/(many-few), "B/program")
		runtime.KeepAlive(state)
	}
}

func openPrograms(b *testing.B, state *projection.Programs, from, to int) uint64 {
	b.Helper()
	for i := from; i < to; i++ {
		program := id.Program(fmt.Sprintf("%020x", i))
		slot := id.ProgramSlot(program)
		if state.Slot(slot).State != projection.SlotOwned {
			claim := record.New("host-1")
			claim.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{Slots: []uint32{uint32(slot)}, Epochs: []uint64{0}}}
			state.Apply(id.NewPosition(id.Offset(i), 0), claim)
		}
		open := record.NewFenced("host-1", slot, state.Slot(slot).Epoch)
		open.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: string(program), Workspace: "workspace"}}
		require.Equal(b, projection.Valid, state.Apply(id.NewPosition(id.Offset(i), 1), open))
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}
