package record_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// bytesPerToken is the size of the generated text per token.
const bytesPerToken = 4

func generateText(tokens int) string {
	const sentence = "The stand rules of hall B ask for a fire exit of two metres on each side. "

	return strings.Repeat(sentence, tokens*bytesPerToken/len(sentence)+1)[:tokens*bytesPerToken]
}

// turnRecord returns a record of a turn with the given numbers of tokens of new input and of answer.
func turnRecord(input, answer int) *record.Record {
	rec := record.NewFenced("host-0830", 4095, id.NewPosition(1_000_000, 100))
	rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
		Program: "p-0123456789abcdef0123", Number: 55,
		Input:        []*recordpb.Message{{Role: "user", Content: generateText(input)}},
		Answer:       &recordpb.Message{Role: "assistant", Content: generateText(answer)},
		PromptTokens: 230_000, CachedTokens: 225_000, CompletionTokens: int64(answer),
		Upstream: "draft-1234", FinishReason: "stop",
	}}

	return rec
}

func claimRecord(slots int) *record.Record {
	rec := record.New("host-0830")
	claim := &recordpb.Claim{Run: "0123456789abcdef0123"}
	for i := range slots {
		claim.Epochs = append(claim.Epochs, uint64(id.NewPosition(1_000_000, 100)))
		claim.Slots = append(claim.Slots, uint32(i*(id.SlotCount/max(slots, 1))))
	}
	rec.Body = &recordpb.Record_Claim{Claim: claim}

	return rec
}

func fencedRecordWithBody(body *record.Record) *record.Record {
	rec := record.NewFenced("host-0830", 4095, id.NewPosition(1_000_000, 100))
	rec.Body = body.GetBody()

	return rec
}

// TestEncodedRecordSizes compares the encoded size of each kind of record, in bytes inside a batch, with testdata/sizes.txt.
func TestEncodedRecordSizes(t *testing.T) {
	records := []struct {
		name string
		rec  *record.Record
	}{
		{"turn without text", turnRecord(0, 0)},
		{"turn, 303 tokens of input and 303 of answer", turnRecord(303, 303)},
		{"turn, 3,879 tokens of input and 303 of answer", turnRecord(3879, 303)},
		{"claim of 5 slots (4,096 over 830)", claimRecord(5)},
		{"claim of 342 slots (4,096 over 12)", claimRecord(342)},
		{"claim of 4,096 slots", claimRecord(id.SlotCount)},
		{"program opened", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{
			Program: "p-0123456789abcdef0123", Workspace: "workspace-8500", Name: "stand rules",
			BudgetTokens: 460_000, LeaseMillis: 600_000,
		}}})},
		{"program ended", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_ProgramEnd{ProgramEnd: &recordpb.ProgramEnd{
			Program: "p-0123456789abcdef0123", Reason: "ended",
		}}})},
		{"budget mark", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_BudgetMark{BudgetMark: &recordpb.BudgetMark{
			Program: "p-0123456789abcdef0123", Tokens: 460_000,
		}}})},
		{"intent", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_Intent{Intent: &recordpb.Intent{
			Program: "p-0123456789abcdef0123", Workspace: "workspace-8500", Service: "bookings",
			Key: "0123456789abcdef0123", Fingerprint: 1, Upstream: "bookings-1",
		}}})},
		{"outcome, body of 200 bytes", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
			Workspace: "workspace-8500", Service: "bookings", Key: "0123456789abcdef0123",
			Status: 200, Body: make([]byte, 200), ContentType: "application/json",
		}}})},
		{"key issued", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_KeyIssue{KeyIssue: &recordpb.KeyIssue{
			Key: "0123456789abcdef0123", Workspace: "workspace-8500", Salt: make([]byte, 16), Hash: make([]byte, 32),
		}}})},
		{"key withdrawn", fencedRecordWithBody(&record.Record{Body: &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{
			Key: "0123456789abcdef0123",
		}}})},
	}
	var table strings.Builder
	for _, r := range records {
		r.rec.Born = 1_000_000
		data, err := record.Encode([]*record.Record{r.rec})
		require.NoError(t, err)
		fmt.Fprintf(&table, "%-48s %7d\n", r.name, len(data))
	}
	t.Log("\n" + table.String())
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "sizes", []byte(table.String()))
}

func BenchmarkEncodeTurns(b *testing.B) {
	for _, records := range []int{1, 10, 223} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			batch := make([]*record.Record, records)
			for i := range batch {
				batch[i] = turnRecord(303, 303)
			}
			b.SetBytes(int64(proto.Size(&recordpb.Batch{Records: batch})))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := record.Encode(batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecodeTurns(b *testing.B) {
	for _, records := range []int{1, 10, 223} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			batch := make([]*record.Record, records)
			for i := range batch {
				batch[i] = turnRecord(303, 303)
			}
			data, err := record.Encode(batch)
			require.NoError(b, err)
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := record.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCompressText compresses the Markdown pages of this repository, as a sample of the text of turns.
func BenchmarkCompressText(b *testing.B) {
	pages := readMarkdownPages(b)
	for _, level := range []int{flate.BestSpeed, flate.DefaultCompression} {
		b.Run(fmt.Sprintf("level=%d", level), func(b *testing.B) {
			var out bytes.Buffer
			writer, err := flate.NewWriter(&out, level)
			require.NoError(b, err)
			b.SetBytes(int64(len(pages)))
			for b.Loop() {
				out.Reset()
				writer.Reset(&out)
				_, err := writer.Write(pages)
				require.NoError(b, err)
				require.NoError(b, writer.Close())
			}
			b.ReportMetric(float64(out.Len())/float64(len(pages)), "compressed-share")
		})
	}
}

// readMarkdownPages returns the text of the Markdown pages of this repository.
func readMarkdownPages(b *testing.B) []byte {
	b.Helper()
	var pages []byte
	files, err := filepath.Glob("../../docs/*.md")
	require.NoError(b, err)
	for _, file := range append(files, "../../README.md") {
		data, err := os.ReadFile(file)
		require.NoError(b, err)
		pages = append(pages, data...)
	}

	return pages
}
