package placement

// spot is the place of an upstream in a sample; -1 stands for none.
type spot struct{ at int }

// sample is a set of upstreams from which one can be drawn at random.
type sample struct{ states []*state }

func (s *sample) add(u *state, which int) {
	if u.spots[which].at >= 0 {
		return
	}
	u.spots[which].at = len(s.states)
	s.states = append(s.states, u)
}

func (s *sample) remove(u *state, which int) {
	at := u.spots[which].at
	if at < 0 {
		return
	}
	last := len(s.states) - 1
	s.states[at] = s.states[last]
	s.states[at].spots[which].at = at
	s.states[last] = nil
	s.states = s.states[:last]
	u.spots[which].at = -1
}
