package cluster

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/turnstore"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

// storedRecords are the records of a slot as they are read from the store, page by page. The text of turns is kept only while the
// host's memory for it lasts: a slot may have more of it than a host has memory.
type storedRecords struct {
	// records are those that are neither turns nor parts of turns.
	records []platform.Record
	turns   []storedTurn
	parts   turnParts
	// keptBytes is the size of the text of turns, which is counted in the host's memory until release.
	keptBytes int
}

// storedTurn is a turn that was read.
type storedTurn struct {
	turn           *turnstore.Turn
	ended          time.Time
	retention      time.Duration
	lossUnixMillis int64
}

// readStoredRecords reads the newest records of a partition, and returns the offset from which later ones are read. A slot of several
// pages is read while few others are, as each of them may have a large turn in parts.
func (c *Cluster) readStoredRecords(ctx context.Context, p platform.Partition, pageTimeout time.Duration) (storedRecords, int64, error) {
	var stored storedRecords
	isLarge := false
	defer func() {
		if isLarge {
			<-c.turnMemory.largeLoads
		}
	}()
	end, err := platform.VisitNewestRecords(ctx, c.store, p, pageTimeout, func(page platform.NewestPage) error {
		for _, record := range page.Records {
			if err := stored.add(record, c.turnMemory); err != nil {
				c.Logger.Error(err, "record-refused", "slot", p.Number, "key", record.Key, "offset", record.Offset)
			}
		}
		if isLarge || !page.HasMore {
			return nil
		}
		select {
		case c.turnMemory.largeLoads <- struct{}{}:
			isLarge = true

			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	if err != nil {
		stored.release(c.turnMemory)
	}

	return stored, end, err
}

// add adds a record.
func (r *storedRecords) add(record platform.Record, memory *turnMemory) error {
	isLarge := isTurnPart(record)
	if isLarge {
		whole, ok, err := r.parts.add(record)
		if !ok {
			return err
		}
		record = whole
	}
	if !strings.HasPrefix(record.Key, turnKeyPrefix) {
		r.records = append(r.records, record)

		return nil
	}
	var value fleetpb.Record
	if err := proto.Unmarshal(record.Value, &value); err != nil {
		return err
	}
	kept := value.GetTurn()
	if kept == nil {
		return nil
	}
	turn := toStoredTurn(kept, time.Time{})
	turn.IsDurable = true
	if bytes := len(turn.PriorTranscript) + len(turn.Input) + len(turn.Output); memory.tryAdd(bytes, isLarge) {
		r.keptBytes += bytes
	} else {
		turn.TextBytes, turn.HasPriorTranscript, turn.IsEvicted = bytes, len(turn.PriorTranscript) > 0, true
		turn.PriorTranscript, turn.Input, turn.Output = nil, nil, nil
	}
	r.turns = append(r.turns, storedTurn{
		turn: turn, ended: time.UnixMilli(kept.EndedUnixMillis), retention: time.Duration(kept.RetentionMillis) * time.Millisecond,
		lossUnixMillis: value.LossUnixMillis,
	})

	return nil
}

// release ends the count of the text in the host's memory.
func (r *storedRecords) release(memory *turnMemory) {
	memory.add(-r.keptBytes)
	r.keptBytes = 0
}

// areUnwritten reports whether the records show that no owner has stored anything but checkpoints.
func (r *storedRecords) areUnwritten() bool {
	if len(r.records) != 1 || r.records[0].Key != checkpointKey || len(r.turns) > 0 || len(r.parts.stored) > 0 {
		return false
	}
	var value fleetpb.Record
	err := proto.Unmarshal(r.records[0].Value, &value)

	return err == nil && value.GetBudget() != nil && value.GetBudget().Mark != writtenMark
}

// turnIDs returns the ids of the turns that are stored whole.
func (r *storedRecords) turnIDs() map[string]struct{} {
	ids := make(map[string]struct{}, len(r.turns))
	for _, stored := range r.turns {
		ids[stored.turn.ID] = struct{}{}
	}

	return ids
}

// restore restores the programs and turns of stored records, whose count in the host's memory the slot takes over. The caller holds the lock.
func (s *slot) restore(now time.Time, stored *storedRecords) {
	for _, record := range stored.records {
		s.restoreRecord(now, record)
	}
	for _, t := range stored.turns {
		s.ledger.AssumeLoss(restoredLoss(now, t.lossUnixMillis))
		s.recordWrittenAt(t.ended)
		t.turn.ExpiresAt = restoredExpiry(now, t.ended, t.retention)
		s.turns.Add(t.turn)
	}
	s.turns.ExtendRetention()
	s.restoreTurnParts(stored.parts)
	stored.release(s.cluster.turnMemory)
	s.countTurns()
}

func toStoredTurn(kept *fleetpb.KeptTurn, expires time.Time) *turnstore.Turn {
	return &turnstore.Turn{
		ID: kept.Id, Workspace: id.Workspace(kept.Workspace), PreviousID: kept.Previous,
		PriorTranscript: kept.Base, Input: kept.Input, Output: kept.Output, ExpiresAt: expires,
	}
}
