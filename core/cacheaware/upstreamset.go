package cacheaware

// setPosition is the index of an upstream in the members of a set; -1 if it is not a member.
type setPosition struct{ index int }

// upstreamSet is a set of upstreams with constant-time insertion, removal and random choice.
type upstreamSet struct{ members []*upstreamState }

// add adds an upstream; setIndex is the index of this set into the upstream's setPositions.
func (s *upstreamSet) add(u *upstreamState, setIndex int) {
	if u.setPositions[setIndex].index >= 0 {
		return
	}
	u.setPositions[setIndex].index = len(s.members)
	s.members = append(s.members, u)
}

func (s *upstreamSet) remove(u *upstreamState, setIndex int) {
	index := u.setPositions[setIndex].index
	if index < 0 {
		return
	}
	last := len(s.members) - 1
	s.members[index] = s.members[last]
	s.members[index].setPositions[setIndex].index = index
	s.members[last] = nil
	s.members = s.members[:last]
	u.setPositions[setIndex].index = -1
}
