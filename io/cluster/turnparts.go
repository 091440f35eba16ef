package cluster

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// turnPartKeyPrefix starts the keys of the parts of a turn, followed by the turn's id, a colon and the part's index: the parts of a turn
	// follow each other in the store's pages, so that no two turns have to be assembled at the same time.
	turnPartKeyPrefix = "q"
	// earlierPartKeyPrefix starts the keys of the parts that earlier releases write, followed by the index, a colon and the id.
	earlierPartKeyPrefix = "p"
	// turnPartOverheadBytes is the space for the encoding of a part beside its data and the turn's id.
	turnPartOverheadBytes = 64
)

func turnPartKey(turn string, index int) string {
	return turnPartKeyPrefix + turn + ":" + strconv.Itoa(index)
}

func earlierPartKey(turn string, index int) string {
	return earlierPartKeyPrefix + strconv.Itoa(index) + ":" + turn
}

// storedParts are the records of a turn that is stored in several.
type storedParts struct {
	count int
	// isEarlier is set if a host of an earlier release has written them.
	isEarlier bool
}

// keys returns the keys of the records of a turn, which is a single one for the zero value.
func (p storedParts) keys(turn string) []string {
	if p.count == 0 {
		return []string{turnKeyPrefix + turn}
	}
	key := turnPartKey
	if p.isEarlier {
		key = earlierPartKey
	}
	keys := make([]string, 0, p.count)
	for index := range p.count {
		keys = append(keys, key(turn, index))
	}

	return keys
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
	incomplete map[string][]*fleetpb.TurnPart
	// stored are the records of all turns of which parts were added, by turn.
	stored map[string]storedParts
}

// isTurnPart reports whether a record is a part of a turn.
func isTurnPart(record platform.Record) bool {
	return strings.HasPrefix(record.Key, turnPartKeyPrefix) || strings.HasPrefix(record.Key, earlierPartKeyPrefix)
}

// add adds the record of a part, and returns the turn's record if all parts are there. It fails if the record cannot be decoded.
func (p *turnParts) add(record platform.Record) (whole platform.Record, ok bool, err error) {
	var value fleetpb.Record
	if err := proto.Unmarshal(record.Value, &value); err != nil || value.GetPart() == nil {
		return platform.Record{}, false, err
	}
	part := value.GetPart()
	if p.stored == nil {
		p.incomplete, p.stored = make(map[string][]*fleetpb.TurnPart), make(map[string]storedParts)
	}
	parts := p.incomplete[part.Turn]
	if parts == nil {
		parts = make([]*fleetpb.TurnPart, max(0, part.Count))
		p.incomplete[part.Turn] = parts
		p.stored[part.Turn] = storedParts{count: len(parts), isEarlier: strings.HasPrefix(record.Key, earlierPartKeyPrefix)}
	}
	if part.Index < 0 || int(part.Index) >= len(parts) {
		return platform.Record{}, false, nil
	}
	parts[part.Index] = part
	size := 0
	for _, other := range parts {
		if other == nil {
			return platform.Record{}, false, nil
		}
		size += len(other.Data)
	}
	whole = platform.Record{Key: turnKeyPrefix + part.Turn, Value: make([]byte, 0, size), Offset: record.Offset}
	for _, other := range parts {
		whole.Value = append(whole.Value, other.Data...)
	}
	delete(p.incomplete, part.Turn)

	return whole, true, nil
}

// removeTurnRecords queues the deletion of the records of a turn; the caller holds the lock.
func (s *slot) removeTurnRecords(turn string) {
	for _, key := range s.turnParts[turn].keys(turn) {
		s.writer.enqueue(pendingRecord{record: platform.Record{Key: key}}, false)
	}
	delete(s.turnParts, turn)
}

// setTurnParts records of how many parts a stored turn consists; the caller holds the lock.
func (s *slot) setTurnParts(turn string, parts storedParts) {
	if s.turnParts == nil {
		s.turnParts = make(map[string]storedParts)
	}
	s.turnParts[turn] = parts
}

// restoreTurnParts records the parts of the turns that were read, and queues the deletion of those of turns that were not stored whole; the
// caller holds the lock.
func (s *slot) restoreTurnParts(parts turnParts) {
	for turn, stored := range parts.stored {
		s.setTurnParts(turn, stored)
	}
	for turn := range parts.incomplete {
		s.removeTurnRecords(turn)
	}
}
