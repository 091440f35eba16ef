package relayselection

// nearWeight is the weight of a host in the same failure domain, relative to an equal one in another.
const nearWeight = 2

// Candidate is a host that may relay a connection.
type Candidate struct {
	Address string
	// CPUCores is the processor time available to the host, in cores.
	CPUCores float64
	// IsNear is set for a host in the same failure domain.
	IsNear bool
}

func (c Candidate) weight() float64 {
	if c.IsNear {
		return nearWeight * c.CPUCores
	}

	return c.CPUCores
}

// Choose returns a candidate with a probability in proportion to its processor time, and false if there is none; random is
// between 0 and 1.
func Choose(candidates []Candidate, random float64) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.weight()
	}
	remaining := random * total
	for _, candidate := range candidates {
		if remaining -= candidate.weight(); remaining < 0 {
			return candidate.Address, true
		}
	}

	return candidates[len(candidates)-1].Address, true
}
