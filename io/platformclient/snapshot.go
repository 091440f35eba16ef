package platformclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// maxChunkBytes bounds the data of one chunk of a snapshot.
const maxChunkBytes = 1 << 20

// Snapshot is the state of a slot that includes all appends before NextOffset.
type Snapshot struct {
	Slot       id.Slot
	NextOffset id.Offset
	// Message is the snapshot of the state, as returned by the projection.
	Message proto.Message
}

// WriteSnapshot appends a snapshot in chunks; an incomplete snapshot has no effect.
func WriteSnapshot[S projection.State](ctx context.Context, j *Journal[S], host id.Host, snapshot Snapshot, now time.Time) error {
	data, err := proto.Marshal(snapshot.Message)
	if err != nil {
		return err
	}
	count := max(1, (len(data)+maxChunkBytes-1)/maxChunkBytes)
	snapshotID := id.NewRandom()
	for index := range count {
		rec := record.New(host)
		rec.Slot = uint32(snapshot.Slot)
		rec.Body = &recordpb.Record_SnapshotChunk{SnapshotChunk: &recordpb.SnapshotChunk{
			Snapshot: snapshotID,
			Index:    uint32(index),
			Count:    uint32(count),
			Next:     uint64(snapshot.NextOffset),
			AtMillis: now.UnixMilli(),
			Data:     data[index*maxChunkBytes : min(len(data), (index+1)*maxChunkBytes)],
		}}
		applyResult, err := j.Append(ctx, rec)
		if err != nil {
			return err
		}
		if !applyResult.Valid() {
			return projection.ErrInvalidSnapshot.New("chunk %d of %d is invalid: %s", index+1, count, applyResult.Reason)
		}
	}

	return nil
}
