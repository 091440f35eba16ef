package projection

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// SnapshotMeta describes a complete snapshot.
type SnapshotMeta struct {
	// NextOffset is the first offset whose records the snapshot does not include.
	NextOffset id.Offset
	// WrittenUnixMillis is the writer's wall clock in milliseconds since 1970; it is used only to schedule the next snapshot.
	WrittenUnixMillis int64
}

// chunkAssembler collects the chunks of snapshots and drops those that stay incomplete for the dedup window.
type chunkAssembler struct {
	partial     map[string]*partialSnapshot
	snapshotIDs recentIDs
}

type partialSnapshot struct {
	receivedChunks uint32
	chunkCount     uint32
	keepData       bool
	data           []byte
}

// add appends a chunk and returns the snapshot's data once it is complete; chunks have to arrive in order.
func (a *chunkAssembler) add(pos id.Position, chunk *recordpb.SnapshotChunk, keepData bool) (data []byte, complete bool, reason RejectReason) {
	snapshotID := chunk.GetSnapshot()
	snapshot, ok := a.partial[snapshotID]
	if !ok {
		if a.partial == nil {
			a.partial = make(map[string]*partialSnapshot)
		}
		snapshot = &partialSnapshot{chunkCount: chunk.GetCount(), keepData: keepData}
		if keepData {
			// Data of an empty snapshot is not nil: nil means that the data was not kept.
			snapshot.data = []byte{}
		}
		a.partial[snapshotID] = snapshot
		a.snapshotIDs.add(snapshotID, pos.Offset())
	}
	if chunk.GetIndex() != snapshot.receivedChunks || chunk.GetCount() != snapshot.chunkCount || snapshot.receivedChunks >= snapshot.chunkCount {
		return nil, false, OutOfOrder
	}
	snapshot.receivedChunks++
	if snapshot.keepData {
		snapshot.data = append(snapshot.data, chunk.GetData()...)
	}
	if snapshot.receivedChunks < snapshot.chunkCount {
		return nil, false, Valid
	}
	data, snapshot.data = snapshot.data, nil

	return data, true, Valid
}

func (a *chunkAssembler) dropExpired(offset id.Offset) {
	for _, dropped := range a.snapshotIDs.dropExpired(offset) {
		delete(a.partial, dropped.name)
	}
}
