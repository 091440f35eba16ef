package platform

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// chunkBytes bounds the data of one chunk of a snapshot.
const chunkBytes = 1 << 20

// Snapshot is a restatement of a state before the append at Next.
type Snapshot struct {
	Slot    id.Slot
	Next    id.Offset
	Message proto.Message
}

// WriteSnapshot appends a snapshot in chunks; one that is not completed has no effect.
func WriteSnapshot[S projection.State](ctx context.Context, j *Journal[S], host id.Host, snapshot Snapshot, now time.Time) error {
	data, err := proto.Marshal(snapshot.Message)
	if err != nil {
		return err
	}
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	name := id.NewRandom()
	for index := range count {
		rec := record.New(host)
		rec.Slot = uint32(snapshot.Slot)
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: name,
			Index:    uint32(index),
			Count:    uint32(count),
			Next:     uint64(snapshot.Next),
			AtMillis: now.UnixMilli(),
			Data:     data[index*chunkBytes : min(len(data), (index+1)*chunkBytes)],
		}}
		verdict, err := j.Append(ctx, rec)
		if err != nil {
			return err
		}
		if !verdict.Valid() {
			return projection.ErrInvalidSnapshot.New("chunk %d of %d is void: %s", index+1, count, verdict.Reason)
		}
	}

	return nil
}
