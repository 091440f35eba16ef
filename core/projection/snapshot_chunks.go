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
	partial map[string]*partialSnapshot
	names   recentIDs
}

type partialSnapshot struct {
	receivedChunks uint32
	chunkCount     uint32
	keepData       bool
	data           []byte
}

// add appends a chunk and returns the snapshot's data once it is complete; chunks have to arrive in order.
func (a *chunkAssembler) add(pos id.Position, chunk *recordpb.SnapshotChunk, keep bool) (data []byte, complete bool, reason RejectReason) {
	name := chunk.GetSnapshot()
	state, ok := a.partial[name]
	if !ok {
		if a.partial == nil {
			a.partial = make(map[string]*partialSnapshot)
		}
		state = &partialSnapshot{chunkCount: chunk.GetCount(), keepData: keep}
		if keep {
			// Data of an empty snapshot is not nil: nil means that the data was not kept.
			state.data = []byte{}
		}
		a.partial[name] = state
		a.names.add(name, pos.Offset())
	}
	if chunk.GetIndex() != state.receivedChunks || chunk.GetCount() != state.chunkCount || state.receivedChunks >= state.chunkCount {
		return nil, false, OutOfOrder
	}
	state.receivedChunks++
	if state.keepData {
		state.data = append(state.data, chunk.GetData()...)
	}
	if state.receivedChunks < state.chunkCount {
		return nil, false, Valid
	}
	data, state.data = state.data, nil

	return data, true, Valid
}

func (a *chunkAssembler) dropExpired(offset id.Offset) {
	for _, dropped := range a.names.dropExpired(offset) {
		delete(a.partial, dropped.name)
	}
}
