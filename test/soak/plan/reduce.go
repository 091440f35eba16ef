package plan

// Reduce drops faults of a failing plan one at a time, as long as the rest still fails, until no fault can be dropped or maxRuns runs have
// been made. It returns the smallest plan that failed. The function fails plays a plan and reports whether it fails; an error ends the
// reduction.
func Reduce(p Plan, maxRuns int, fails func(Plan) (bool, error)) (Plan, error) {
	for dropped := true; dropped; {
		dropped = false
		// Later faults are dropped first: those before the failure are more likely to be its cause.
		for i := len(p.Faults) - 1; i >= 0; i-- {
			if maxRuns == 0 {
				return p, nil
			}
			maxRuns--
			shorter := p.Without(i)
			failed, err := fails(shorter)
			if err != nil {
				return p, err
			}
			if failed {
				p, dropped = shorter, true
			}
		}
	}

	return p, nil
}
