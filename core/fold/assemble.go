package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// SnapshotMark says what a complete snapshot contains and when it was written.
type SnapshotMark struct {
	// Next is the first offset whose records are not contained.
	Next id.Offset
	// AtMillis is the writer's wall clock in milliseconds since 1970; it only serves to plan the next snapshot.
	AtMillis int64
}

// assembler collects the chunks of snapshots; one that stays incomplete is forgotten.
type assembler struct {
	open map[string]*assembly
	seen seen
}

type assembly struct {
	received uint32
	count    uint32
	keep     bool
	data     []byte
}

// add takes a chunk and returns the snapshot's data once it is complete; chunks come in order.
func (a *assembler) add(pos id.Position, chunk *recordpb.SnapshotChunk, keep bool) (data []byte, complete bool, reason Reason) {
	name := chunk.GetSnapshot()
	state, ok := a.open[name]
	if !ok {
		if a.open == nil {
			a.open = make(map[string]*assembly)
		}
		state = &assembly{count: chunk.GetCount(), keep: keep}
		if keep {
			// An empty snapshot has data as well.
			state.data = []byte{}
		}
		a.open[name] = state
		a.seen.add(name, pos.Offset())
	}
	if chunk.GetIndex() != state.received || chunk.GetCount() != state.count || state.received >= state.count {
		return nil, false, OutOfOrder
	}
	state.received++
	if state.keep {
		state.data = append(state.data, chunk.GetData()...)
	}
	if state.received < state.count {
		return nil, false, Valid
	}
	data, state.data = state.data, nil

	return data, true, Valid
}

func (a *assembler) forget(offset id.Offset) {
	for _, dropped := range a.seen.forget(offset) {
		delete(a.open, dropped.name)
	}
}
