package main

import (
	"errors"
	"time"
)

// playRetention spends a budget and lets the program return within the retention of its route, which is longer than a minute.
func playRetention(f *fleet) (bool, error) {
	f.retention = 120
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
	program, total, status := newID()[:6], 0, 0
	for number := 0; status != 402; number++ {
		var tokens int
		var err error
		var requestID string
		h := f.hosts[number%len(f.hosts)]
		if status, tokens, requestID, err = budgetTurn(f, apiKey, program, h.address(), "", "/draft/"); err != nil || total > budgetTokens {
			return false, errors.New("the budget is not spent as expected")
		}
		total += tokens
		f.record("turn %s at %s: %d, %d tokens, %d in all", requestID, h.settings.Name, status, tokens, total)
	}
	pause := 10 * time.Second
	if f.trouble {
		pause = 90 * time.Second
	}
	f.record("the program is stopped, and returns after %s", pause)
	time.Sleep(pause)
	for number := range 30 {
		h := f.hosts[number%len(f.hosts)]
		status, tokens, requestID, err := budgetTurn(f, apiKey, program, h.address(), "", "/draft/")
		total += tokens
		f.record("turn %s at %s: %d %v, %d tokens, %d in all", requestID, h.settings.Name, status, err, tokens, total)
		if status == 402 {
			break
		}
	}
	f.record("tokens handed to the client: %d; the budget and the most of one turn are %d", total, budgetTokens+turnTokens)

	return total > budgetTokens+turnTokens, nil
}
