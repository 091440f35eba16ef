package cluster

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// turnPartKeyPrefix starts the keys of the parts of a turn, followed by the part's index, a colon and the turn's id.
	turnPartKeyPrefix = "p"
	// turnPartOverheadBytes is the space for the encoding of a part beside its data and the turn's id.
	turnPartOverheadBytes = 64
)

func turnPartKey(turn string, index int) string {
	return turnPartKeyPrefix + strconv.Itoa(index) + ":" + turn
}

// turnRecords returns the records of an encoded turn: one, or several parts if it is larger than the store takes. The turn is
// durable once the last of them is.
func (c *Cluster) turnRecords(turn string, value []byte) ([]platform.Record, error) {
	whole := platform.Record{Key: turnKeyPrefix + turn, Value: value}
	limit := c.Settings.Store.MaxRecordBytes
	if limit <= 0 || platform.RecordSize(whole) <= limit {
		return []platform.Record{whole}, nil
	}
	dataBytes := max(1, limit-2*len(turn)-turnPartOverheadBytes)
	count := (len(value) + dataBytes - 1) / dataBytes
	records := make([]platform.Record, 0, count)
	for index := range count {
		data := value[index*dataBytes : min(len(value), (index+1)*dataBytes)]
		part, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Part{Part: &fleetpb.TurnPart{
			Turn: turn, Index: int32(index), Count: int32(count), Data: data,
		}}})
		if err != nil {
			return nil, err
		}
		records = append(records, platform.Record{Key: turnPartKey(turn, index), Value: part})
	}

	return records, nil
}

// turnParts assembles the turns of which several records are parts; its zero value is empty.
type turnParts struct {
	byTurn map[string][]*fleetpb.TurnPart
}

// add adds a part, and returns the encoded record of its turn if all parts are there.
func (p *turnParts) add(part *fleetpb.TurnPart) (record []byte, ok bool) {
	if p.byTurn == nil {
		p.byTurn = make(map[string][]*fleetpb.TurnPart)
	}
	parts := p.byTurn[part.Turn]
	if parts == nil {
		parts = make([]*fleetpb.TurnPart, max(0, part.Count))
		p.byTurn[part.Turn] = parts
	}
	if part.Index < 0 || int(part.Index) >= len(parts) {
		return nil, false
	}
	parts[part.Index] = part
	for _, other := range parts {
		if other == nil {
			return nil, false
		}
		record = append(record, other.Data...)
	}

	return record, true
}

// removeTurnRecords queues the deletion of the records of a turn; the caller holds the lock.
func (s *slot) removeTurnRecords(turn string) {
	count, ok := s.turnPartCounts[turn]
	if !ok {
		s.writer.enqueue(pendingRecord{record: platform.Record{Key: turnKeyPrefix + turn}}, false)

		return
	}
	delete(s.turnPartCounts, turn)
	for index := range count {
		s.writer.enqueue(pendingRecord{record: platform.Record{Key: turnPartKey(turn, index)}}, false)
	}
}

// setTurnPartCount records of how many parts a stored turn consists; the caller holds the lock.
func (s *slot) setTurnPartCount(turn string, count int) {
	if s.turnPartCounts == nil {
		s.turnPartCounts = make(map[string]int)
	}
	s.turnPartCounts[turn] = count
}

// restoreTurnPart adds a part of a turn, and returns the turn's record once it is complete. Turns whose parts are not all there
// never became durable. The caller holds the lock.
func (s *slot) restoreTurnPart(parts *turnParts, part *fleetpb.TurnPart) (record []byte, ok bool) {
	s.setTurnPartCount(part.Turn, int(part.Count))

	return parts.add(part)
}

// removeIncompleteTurns queues the deletion of the parts of turns that were not stored whole; the caller holds the lock.
func (s *slot) removeIncompleteTurns(parts *turnParts) {
	for turn, list := range parts.byTurn {
		for _, part := range list {
			if part == nil {
				s.removeTurnRecords(turn)

				break
			}
		}
	}
}
