package fold_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/fold"
	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// Whatever an append holds, it is folded or reported, and the fold goes on.
func FuzzFolder(f *testing.F) {
	s := &stream{epochs: map[id.Slot]id.Epoch{}}
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
		programs := fold.Folder[*fold.Programs]{State: &fold.Programs{}}
		lost := fold.Folder[*fold.Programs]{State: &fold.Programs{}}
		control := fold.Folder[*fold.Control]{State: &fold.Control{}}
		lostControl := fold.Folder[*fold.Control]{State: &fold.Control{}}
		for i, data := range [][]byte{first, second, first} {
			offset := id.Offset(i)
			programs.Append(offset, data)
			control.Append(offset, data)
			lost.Append(offset+7, data)
			lostControl.Append(offset+7, data)
		}
		require.Equal(t, id.Offset(3), programs.Next())
		require.Equal(t, id.Offset(3), control.Next())
		require.Equal(t, id.Offset(10), lost.Next())
		require.Equal(t, id.Offset(10), lostControl.Next())
	})
}

// A snapshot of any content restores a slot or is reported.
func FuzzRestore(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x22, 0x05, 'o', 'w', 'n', 'e', 'd'})
	f.Add([]byte{0x22, 0x05, 'o', 'w', 'n', 'e', 'd', 0x3a, 0x02, 0x12, 0x00, 0x42, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		programs := &fold.Programs{}
		programs.Lose(1)
		if err := programs.Restore(0, fold.SnapshotMark{Next: 1}, data); err != nil {
			require.True(t, programs.Wants(0))
		}
		programs.Snapshot(0, 1)
		control := &fold.Control{}
		control.Lose(1)
		if err := control.Restore(0, fold.SnapshotMark{Next: 1}, data); err != nil {
			require.False(t, control.Complete())
		}
	})
}
