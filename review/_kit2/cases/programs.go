package main

import (
	"errors"
	"time"
)

// playPrograms lets programs of two workspaces have the same ids.
func playPrograms(f *fleet) (bool, error) {
	const programs = 12
	f.startEngines(4, turnTokens/tokensPerEvent, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/draft/", resumable: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(4); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	requests, denied := 0, 0
	for number := range programs {
		program := newID()[:6]
		for _, key := range []string{apiKey, otherKey} {
			if key == otherKey && !f.trouble {
				program = newID()[:6]
			}
			total := 0
			for {
				status, tokens, requestID, err := budgetTurn(f, key, program, f.hosts[number%len(f.hosts)].address(), "", "/draft/")
				if err != nil {
					return false, err
				}
				requests++
				total += tokens
				if status == 402 {
					f.record("turn %s of program %s of %s: 402 after %d of %d tokens", requestID, program, key, total, budgetTokens)
					if total+turnTokens <= budgetTokens {
						denied++
					}

					break
				}
				if total > budgetTokens {
					return false, errors.New("the budget does not end")
				}
			}
		}
	}
	f.record("%d requests in all, %d of them ended with 402 though the budget held one more turn", requests, denied)

	return float64(denied) > 5+float64(requests)/500, nil
}
