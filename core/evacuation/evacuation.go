package evacuation

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// Set is the set of evacuated failure domains; its zero value is empty.
type Set struct {
	learnedAt map[id.FailureDomain]time.Time
	endedAt   map[id.FailureDomain]time.Time
}

// Put adds a domain and reports whether it was not in the set before.
func (s *Set) Put(now time.Time, domain id.FailureDomain) bool {
	if s.Contains(domain) {
		return false
	}
	if s.learnedAt == nil {
		s.learnedAt, s.endedAt = make(map[id.FailureDomain]time.Time), make(map[id.FailureDomain]time.Time)
	}
	s.learnedAt[domain] = now
	delete(s.endedAt, domain)

	return true
}

// Remove removes a domain and reports whether it was in the set.
func (s *Set) Remove(now time.Time, domain id.FailureDomain) bool {
	if !s.Contains(domain) {
		return false
	}
	delete(s.learnedAt, domain)
	s.endedAt[domain] = now

	return true
}

// RemoveUnlisted removes the domains that a complete listing lacks and returns them, sorted.
func (s *Set) RemoveUnlisted(now time.Time, listed map[id.FailureDomain]struct{}) []id.FailureDomain {
	var removed []id.FailureDomain
	for domain := range s.learnedAt {
		if _, ok := listed[domain]; !ok && s.Remove(now, domain) {
			removed = append(removed, domain)
		}
	}
	slices.Sort(removed)

	return removed
}

// Contains reports whether a domain is evacuated.
func (s *Set) Contains(domain id.FailureDomain) bool {
	_, ok := s.learnedAt[domain]

	return ok
}

// LearnedAt returns when a domain was added, and false if it is not in the set.
func (s *Set) LearnedAt(domain id.FailureDomain) (time.Time, bool) {
	at, ok := s.learnedAt[domain]

	return at, ok
}

// EndedAt returns when the last evacuation of a domain ended, and false if there was none or it is evacuated again.
func (s *Set) EndedAt(domain id.FailureDomain) (time.Time, bool) {
	at, ok := s.endedAt[domain]

	return at, ok
}

// Len returns the number of evacuated domains.
func (s *Set) Len() int { return len(s.learnedAt) }
