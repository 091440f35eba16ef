package fold

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// seen remembers names for the dedup window, in the order of their offsets; its zero value is empty.
type seen struct {
	names  map[string]struct{}
	expiry []seenName
}

type seenName struct {
	name   string
	offset id.Offset
}

func (s *seen) has(name string) bool {
	_, ok := s.names[name]

	return ok
}

func (s *seen) add(name string, offset id.Offset) {
	if s.has(name) {
		return
	}
	if s.names == nil {
		s.names = make(map[string]struct{})
	}
	s.names[name] = struct{}{}
	s.expiry = append(s.expiry, seenName{name: name, offset: offset})
}

// forget drops the names that have left the window and returns them.
func (s *seen) forget(now id.Offset) []seenName {
	drop := 0
	for drop < len(s.expiry) && s.expiry[drop].offset+DedupWindow < now {
		delete(s.names, s.expiry[drop].name)
		drop++
	}
	dropped := s.expiry[:drop]
	s.expiry = s.expiry[drop:]

	return dropped
}

// snapshot restates what is still in the window before next.
func (s *seen) snapshot(next id.Offset) []*recordpb.VoidRecord {
	var records []*recordpb.VoidRecord
	for _, entry := range s.expiry {
		if entry.offset+DedupWindow >= next {
			records = append(records, &recordpb.VoidRecord{Id: entry.name, Offset: uint64(entry.offset)})
		}
	}

	return records
}

func (s *seen) restore(records []*recordpb.VoidRecord) {
	for _, rec := range records {
		s.add(rec.GetId(), id.Offset(rec.GetOffset()))
	}
}
