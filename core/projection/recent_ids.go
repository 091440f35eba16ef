package projection

import (
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// recentIDs is a set of ids that remembers each for the dedup window, in the order of offsets; its zero value is empty.
type recentIDs struct {
	ids      map[string]struct{}
	byOffset []recentID
}

type recentID struct {
	name   string
	offset id.Offset
}

func (s *recentIDs) contains(name string) bool {
	_, ok := s.ids[name]

	return ok
}

func (s *recentIDs) add(name string, offset id.Offset) {
	if s.contains(name) {
		return
	}
	if s.ids == nil {
		s.ids = make(map[string]struct{})
	}
	s.ids[name] = struct{}{}
	s.byOffset = append(s.byOffset, recentID{name: name, offset: offset})
}

// dropExpired drops and returns the ids that have left the window.
func (s *recentIDs) dropExpired(now id.Offset) []recentID {
	expiredCount := 0
	for expiredCount < len(s.byOffset) && s.byOffset[expiredCount].offset+DedupWindowAppends < now {
		delete(s.ids, s.byOffset[expiredCount].name)
		expiredCount++
	}
	dropped := s.byOffset[:expiredCount]
	s.byOffset = s.byOffset[expiredCount:]

	return dropped
}

// snapshot returns the ids that are still in the window at next.
func (s *recentIDs) snapshot(next id.Offset) []*recordpb.VoidRecord {
	var records []*recordpb.VoidRecord
	for _, entry := range s.byOffset {
		if entry.offset+DedupWindowAppends >= next {
			records = append(records, &recordpb.VoidRecord{Id: entry.name, Offset: uint64(entry.offset)})
		}
	}

	return records
}

func (s *recentIDs) restore(records []*recordpb.VoidRecord) {
	for _, rec := range records {
		s.add(rec.GetId(), id.Offset(rec.GetOffset()))
	}
}
