package cacheaware

// setPosition is the index of an upstream in the members of a set; -1 if it is not a member.
type setPosition struct{ index int }

// upstreamSet is a set of upstreams with constant-time insertion, removal and random choice.
type upstreamSet struct{ members []*upstreamState }

func (s *upstreamSet) add(u *upstreamState, set int) {
	if u.setPositions[set].index >= 0 {
		return
	}
	u.setPositions[set].index = len(s.members)
	s.members = append(s.members, u)
}

func (s *upstreamSet) remove(u *upstreamState, set int) {
	index := u.setPositions[set].index
	if index < 0 {
		return
	}
	last := len(s.members) - 1
	s.members[index] = s.members[last]
	s.members[index].setPositions[set].index = index
	s.members[last] = nil
	s.members = s.members[:last]
	u.setPositions[set].index = -1
}
