package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomward/platform/standin"
)

const (
	budgetTokens   = 2000
	turnTokens     = 100
	tokensPerEvent = 10
	budgetHosts    = 10
)

// budgetTurn sends a turn of a program with a budget and returns the tokens that the client was handed.
func budgetTurn(f *fleet, key, program, address string, previous string, path string) (status, tokens int, requestID string, err error) {
	requestID = newID()
	request := standin.NewTurnRequest(path, key, program, previous, "input of "+requestID+"\n")
	request.Header["Token-Budget"] = fmt.Sprint(budgetTokens)
	request.Header["Token-Usage"] = fmt.Sprintf("500,%d", turnTokens)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := request.Send(ctx, requestID, address)
	if err != nil {
		return 0, 0, requestID, err
	}
	if response.Status == 200 {
		tokens = tokensPerEvent * strings.Count(response.Body, "data: ")
	}

	return response.Status, tokens, requestID, nil
}

// playBudget spends the budget of a program through one host, and lets it return in an outage of the store in which this host and the owner
// of the program's slot are lost.
func playBudget(f *fleet) (bool, error) {
	defer f.store.SetFaults(standin.Faults{})
	f.startEngines(4, turnTokens/tokensPerEvent, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/draft/", resumable: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(budgetHosts); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	entry := f.hosts[0]
	var owner *host
	program := ""
	for owner == nil || owner == entry {
		program = newID()[:6]
		var err error
		if owner, err = f.owner(program); err != nil {
			return false, err
		}
	}
	f.record("program %s with a budget of %d and at most %d a turn; owner of its slot %s, entry host %s", program, budgetTokens, turnTokens, owner.settings.Name, entry.settings.Name)
	total := 0
	for {
		status, tokens, requestID, err := budgetTurn(f, apiKey, program, entry.address(), "", "/draft/")
		if err != nil {
			return false, err
		}
		total += tokens
		f.record("turn %s at %s: %d, %d tokens, %d in all", requestID, entry.settings.Name, status, tokens, total)
		if status == 402 {
			break
		}
		if status != 200 && status != 503 || total > budgetTokens {
			return false, errors.New("the budget is not spent as expected")
		}
	}
	time.Sleep(2 * time.Second)
	rest := f.hosts
	var restarts sync.WaitGroup
	if f.trouble {
		f.store.SetFaults(standin.Faults{Down: true})
		f.record("the store is down: it answers 503")
		downSince := time.Now()
		restarts.Go(func() {
			time.Sleep(time.Until(downSince.Add(4500 * time.Millisecond)))
			f.store.SetFaults(standin.Faults{})
			f.record("the store is back")
		})
		time.Sleep(time.Second)
		rest = nil
		for _, h := range f.hosts {
			if h != owner && h != entry {
				rest = append(rest, h)

				continue
			}
			h.signal(syscall.SIGKILL)
			f.record("%s is killed", h.settings.Name)
			restarts.Go(func() {
				<-h.done
				time.Sleep(3500 * time.Millisecond)
				h.start() //nolint:errcheck // a host that stays away
			})
		}
	}
	for until, number := time.Now().Add(8*time.Second), 0; time.Now().Before(until); number++ {
		h := rest[number%len(rest)]
		status, tokens, requestID, err := budgetTurn(f, apiKey, program, h.address(), "", "/draft/")
		total += tokens
		f.record("turn %s at %s: %d %v, %d tokens, %d in all", requestID, h.settings.Name, status, err, tokens, total)
		time.Sleep(50 * time.Millisecond)
	}
	restarts.Wait()
	f.record("tokens handed to the client: %d; the budget and the most of one turn are %d", total, budgetTokens+turnTokens)

	return total > budgetTokens+turnTokens, nil
}
