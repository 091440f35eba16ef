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

const capacityHost id.Host = "host-0830"

// bytesPerToken is the size of the generated text per token.
const bytesPerToken = 4

// measureHeapGrowth returns what build returns and the growth of the heap in bytes.
func measureHeapGrowth[T any](build func() T) (kept T, bytes uint64) {
	var before, after runtime.MemStats
	readHeap(&before)
	kept = build()
	readHeap(&after)

	return kept, after.HeapAlloc - before.HeapAlloc
}

func capacityText(tokens int) string { return strings.Repeat("text", tokens*bytesPerToken/4) }

// claimAll applies a claim of all slots as the first append.
func claimAll(tb testing.TB, applier *projection.Applier[*projection.Programs]) id.Epoch {
	tb.Helper()
	rec := record.New(capacityHost)
	rec.Body = &recordpb.Record_Claim{Claim: newClaim(id.SlotCount, 0)}
	results := applier.ApplyAppend(0, encodeAppend(tb, rec))
	require.Equal(tb, projection.Valid, results[0].Reason)

	return results[0].Position
}

// newClaim returns a forced claim of the first slots, all with one base epoch.
func newClaim(slots int, base id.Epoch) *recordpb.Claim {
	claim := &recordpb.Claim{Forced: true, Run: "0123456789abcdef0123"}
	for slot := range slots {
		claim.Slots = append(claim.Slots, uint32(slot))
		claim.Epochs = append(claim.Epochs, uint64(base))
	}

	return claim
}

func newOpenRecord(program id.Program, epoch id.Epoch) *record.Record {
	rec := record.NewFenced(capacityHost, id.ProgramSlot(program), epoch)
	rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{
		Program: string(program), Workspace: "workspace-8500", Name: "stand rules",
		BudgetTokens: 460_000, LeaseMillis: 600_000,
	}}

	return rec
}

func newTurn(program id.Program, number, input, answer int) *recordpb.Turn {
	return &recordpb.Turn{
		Program: string(program), Number: uint32(number),
		Input:        []*recordpb.Message{{Role: "user", Content: capacityText(input)}},
		Answer:       &recordpb.Message{Role: "assistant", Content: capacityText(answer)},
		PromptTokens: 230_000, CachedTokens: 225_000, CompletionTokens: int64(answer),
		Upstream: "draft-1234", FinishReason: "stop",
	}
}

func newTurnRecord(epoch id.Epoch, turn *recordpb.Turn) *record.Record {
	rec := record.NewFenced(capacityHost, id.ProgramSlot(id.Program(turn.GetProgram())), epoch)
	rec.Body = &recordpb.Record_Turn{Turn: turn}

	return rec
}

// farFutureOffset is a creation offset after all appends, so that no record is late.
const farFutureOffset = 1 << 40

func programName(i int) id.Program { return id.Program(fmt.Sprintf("p-%020d", i)) }

// encodeAppend encodes records as one append; none of them is rejected as late.
func encodeAppend(tb testing.TB, records ...*record.Record) []byte {
	tb.Helper()
	for _, rec := range records {
		rec.Born = farFutureOffset
	}
	data, err := record.Encode(records)
	require.NoError(tb, err)

	return data
}

// BenchmarkApplyIdlePrograms measures the memory of programs without turns, and of the record ids that the applier remembers.
func BenchmarkApplyIdlePrograms(b *testing.B) {
	const count, batch = 100_000, 100
	for b.Loop() {
		var start, all, state runtime.MemStats
		readHeap(&start)
		applier := &projection.Applier[*projection.Programs]{State: &projection.Programs{}}
		epoch := claimAll(b, applier)
		for i := range count / batch {
			records := make([]*record.Record, batch)
			for n := range records {
				records[n] = newOpenRecord(programName(i*batch+n), epoch)
			}
			applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, records...))
		}
		readHeap(&all)
		programs := applier.State
		runtime.KeepAlive(applier)
		applier = nil
		readHeap(&state)
		_, ok := programs.Program(programName(count - 1))
		require.True(b, ok)
		b.ReportMetric(float64(state.HeapAlloc-start.HeapAlloc)/count, "heap-bytes/program")
		b.ReportMetric(float64(all.HeapAlloc-state.HeapAlloc)/count, "heap-bytes/record-id")
	}
}

func readHeap(stats *runtime.MemStats) {
	runtime.GC()
	runtime.ReadMemStats(stats)
}

// BenchmarkApplyLongProgram measures the memory of a program of 110 turns and 460,000 tokens, after its records are applied.
func BenchmarkApplyLongProgram(b *testing.B) {
	const count, turns, tokens = 20, 110, 460_000
	for b.Loop() {
		programs, bytes := measureHeapGrowth(func() *projection.Programs {
			applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			epoch := claimAll(b, &applier)
			offset := id.Offset(1)
			for i := range count {
				applier.ApplyAppend(offset, encodeAppend(b, newOpenRecord(programName(i), epoch)))
				offset++
				for number := range turns {
					turn := newTurn(programName(i), number+1, tokens/turns-303, 303)
					applier.ApplyAppend(offset, encodeAppend(b, newTurnRecord(epoch, turn)))
					offset++
				}
			}

			return applier.State
		})
		program, ok := programs.Program(programName(0))
		require.True(b, ok)
		require.Len(b, program.Turns, turns)
		b.ReportMetric(float64(bytes)/count, "heap-bytes/program")
	}
}

// BenchmarkApplyTurn applies turns of typical size, decoding included.
func BenchmarkApplyTurn(b *testing.B) {
	for _, batch := range []int{1, 223} {
		b.Run(fmt.Sprintf("records=%d", batch), func(b *testing.B) {
			applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			epoch := claimAll(b, &applier)
			programs := make([]id.Program, batch)
			for i := range programs {
				programs[i] = programName(i)
				applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, newOpenRecord(programs[i], epoch)))
			}
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				b.StopTimer()
				number++
				records := make([]*record.Record, batch)
				for i, program := range programs {
					records[i] = newTurnRecord(epoch, newTurn(program, number, 303, 303))
				}
				data := encodeAppend(b, records...)
				b.SetBytes(int64(len(data)))
				b.StartTimer()
				results := applier.ApplyAppend(applier.NextOffset(), data)
				if !results[0].Valid() {
					b.Fatal(results[0].Reason)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/record")
		})
	}
}

// BenchmarkApplyRecords applies the other kinds of record, decoding included.
func BenchmarkApplyRecords(b *testing.B) {
	epoch := id.NewPosition(0, 0)
	program := programName(0)
	kinds := []struct {
		name  string
		build func(i int) *record.Record
	}{
		{"open", func(i int) *record.Record { return newOpenRecord(programName(i+1), epoch) }},
		{"budget-mark", func(i int) *record.Record {
			rec := record.NewFenced(capacityHost, id.ProgramSlot(program), epoch)
			rec.Body = &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{Program: string(program), Tokens: int64(i)}}

			return rec
		}},
		{"intent", func(i int) *record.Record {
			key := fmt.Sprintf("key-%016d", i)
			rec := record.NewFenced(capacityHost, id.CallSlot("clerks", key), epoch)
			rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{
				Workspace: "clerks", Service: "bookings", Key: key, Upstream: "bookings-1",
			}}

			return rec
		}},
		{"stale-epoch", func(int) *record.Record { return newOpenRecord(programName(0), epoch+1) }},
	}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			claimAll(b, &applier)
			applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, newOpenRecord(program, epoch)))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				b.StopTimer()
				data := encodeAppend(b, kind.build(i))
				i++
				b.StartTimer()
				applier.ApplyAppend(applier.NextOffset(), data)
			}
		})
	}
}

// BenchmarkApplyClaim applies one claim of some or all slots.
func BenchmarkApplyClaim(b *testing.B) {
	for _, slots := range []int{5, 342, id.SlotCount} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
			base := id.Epoch(0)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				rec := record.New(capacityHost)
				rec.Body = &recordpb.Record_Claim{Claim: newClaim(slots, base)}
				data := encodeAppend(b, rec)
				b.StartTimer()
				results := applier.ApplyAppend(applier.NextOffset(), data)
				if !results[0].Valid() {
					b.Fatal(results[0].Reason)
				}
				base = results[0].Position
			}
		})
	}
}

// BenchmarkSnapshot encodes a snapshot of a slot with ten programs of 55 turns of 606 tokens, as its owner does before the
// log expires the records.
func BenchmarkSnapshot(b *testing.B) {
	const programs, turns = 10, 55
	applier := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
	epoch := claimAll(b, &applier)
	slot := id.ProgramSlot("p")
	for i, found := 0, 0; found < programs; i++ {
		program := programName(i)
		if id.ProgramSlot(program) != slot {
			continue
		}
		found++
		applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, newOpenRecord(program, epoch)))
		for number := range turns {
			applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, newTurnRecord(epoch, newTurn(program, number+1, 303, 303))))
		}
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := proto.Marshal(applier.State.Snapshot(slot, applier.NextOffset()))
		require.NoError(b, err)
		size = len(data)
	}
	b.SetBytes(int64(size))
	b.ReportMetric(float64(size)/programs, "bytes/program")
}

func newKeyRecord(i int, salt []byte) *record.Record {
	rec := record.New(capacityHost)
	rec.Body = &recordpb.Record_KeyIssue{KeyIssue: &recordpb.KeyIssue{
		Key: fmt.Sprintf("%020d", i), Workspace: fmt.Sprintf("workspace-%04d", i%8500),
		Salt: salt, Hash: projection.HashSecret(salt, "secret"),
	}}

	return rec
}

// BenchmarkApplyKeys measures the memory of 100,000 keys.
func BenchmarkApplyKeys(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		control, bytes := measureHeapGrowth(func() *projection.Control {
			applier := projection.Applier[*projection.Control]{State: &projection.Control{}}
			for i := range count {
				applier.ApplyAppend(applier.NextOffset(), encodeAppend(b, newKeyRecord(i, make([]byte, 16))))
			}

			return applier.State
		})
		_, ok := control.Authenticate("00000000000000099999", "secret")
		require.True(b, ok)
		b.ReportMetric(float64(bytes)/count, "heap-bytes/key")
	}
}

// BenchmarkAuthenticate authenticates with one of 100,000 keys.
func BenchmarkAuthenticate(b *testing.B) {
	const count = 100_000
	control := &projection.Control{}
	salt := make([]byte, 16)
	for i := range count {
		control.Apply(id.NewPosition(id.Offset(i), 0), newKeyRecord(i, salt))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := control.Authenticate("00000000000000050000", "secret"); !ok {
			b.Fatal("not authenticated")
		}
	}
}
