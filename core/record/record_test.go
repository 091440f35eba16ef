package record_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/core/record"
)

func FuzzDecode(f *testing.F) {
	batch, err := record.Encode([]*record.Record{record.New("host-1"), record.NewFenced("host-2", 3, 4)})
	require.NoError(f, err)
	f.Add(batch)
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0x0a, 0x02, 0x12, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := record.Decode(data)
		if err != nil {
			require.True(t, errorx.IsOfType(err, record.ErrCorrupt))
			require.Empty(t, records)

			return
		}
		reencoded, err := record.Encode(records)
		require.NoError(t, err)
		decoded, err := record.Decode(reencoded)
		require.NoError(t, err)
		require.Len(t, decoded, len(records))
	})
}

func TestEncodedRecordsJoinIntoOneBatch(t *testing.T) {
	var joined []byte
	for range 3 {
		part, err := record.EncodeOne(record.New("host-1"))
		require.NoError(t, err)
		joined = append(joined, part...)
	}
	records, err := record.Decode(joined)
	require.NoError(t, err)
	require.Len(t, records, 3)
}

func TestBatchOfTooManyRecordsIsCorrupt(t *testing.T) {
	data := make([]byte, 0, 2*(record.MaxRecordsPerAppend+1))
	for range record.MaxRecordsPerAppend + 1 {
		data = append(data, 0x0a, 0x00)
	}
	_, err := record.Decode(data)
	require.ErrorContains(t, err, "65537 records")
}
