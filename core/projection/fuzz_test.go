package projection_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// An append with any content is applied or reported, and the applier continues with the next one.
func FuzzApplier(f *testing.F) {
	s := &programsStream{epochs: map[id.Slot]id.Epoch{}}
	chunk := record.New("host-1")
	chunk.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
		Snapshot: "s", Count: 1, Next: 9, Data: []byte{0x22, 0x05, 'o', 'w', 'n', 'e', 'd'},
	}}
	for _, rec := range []*record.Record{s.open("a", ""), s.end("a"), s.turn("a"), s.intent(), chunk} {
		data, err := record.EncodeOne(rec)
		require.NoError(f, err)
		f.Add(data, data)
	}
	f.Add([]byte{}, []byte{0xff})
	f.Add([]byte{0x0a, 0x00}, []byte{0x0a, 0x02, 0x52, 0x00})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		programs := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
		afterGap := projection.Applier[*projection.Programs]{State: &projection.Programs{}}
		control := projection.Applier[*projection.Control]{State: &projection.Control{}}
		controlAfterGap := projection.Applier[*projection.Control]{State: &projection.Control{}}
		for i, data := range [][]byte{first, second, first} {
			offset := id.Offset(i)
			programs.ApplyAppend(offset, data)
			control.ApplyAppend(offset, data)
			afterGap.ApplyAppend(offset+7, data)
			controlAfterGap.ApplyAppend(offset+7, data)
		}
		require.Equal(t, id.Offset(3), programs.NextOffset())
		require.Equal(t, id.Offset(3), control.NextOffset())
		require.Equal(t, id.Offset(10), afterGap.NextOffset())
		require.Equal(t, id.Offset(10), controlAfterGap.NextOffset())
	})
}

// A snapshot with any content restores a slot or returns an error that leaves the state unknown.
func FuzzRestore(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x22, 0x05, 'o', 'w', 'n', 'e', 'd'})
	f.Add([]byte{0x22, 0x05, 'o', 'w', 'n', 'e', 'd', 0x3a, 0x02, 0x12, 0x00, 0x42, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		programs := &projection.Programs{}
		programs.Invalidate(1)
		if err := programs.Restore(0, projection.SnapshotMeta{NextOffset: 1}, data); err != nil {
			require.True(t, programs.NeedsSnapshot(0))
		}
		programs.Snapshot(0, 1)
		control := &projection.Control{}
		control.Invalidate(1)
		if err := control.Restore(0, projection.SnapshotMeta{NextOffset: 1}, data); err != nil {
			require.False(t, control.Ready())
		}
	})
}
