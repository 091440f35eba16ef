package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	chargePrograms = 24
	chargeHosts    = 10
	firstTurns     = 16
	rollGap        = 2 * time.Second
)

// playCharge lets programs pause during a rolling restart of all hosts, and continue within their budgets after it.
func playCharge(f *fleet) (bool, error) {
	f.startEngines(4, turnTokens/tokensPerEvent, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/draft/", resumable: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(chargeHosts); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	programs := make([]string, chargePrograms)
	tokens := make([]int, chargePrograms)
	requests, denied := 0, 0
	// turn sends a turn, and again while it is refused without having run; it reports whether it ran.
	turn := func(program, number int) (bool, error) {
		for attempt := range 20 {
			h := f.hosts[(number+attempt)%len(f.hosts)]
			status, handed, requestID, err := budgetTurn(f, apiKey, programs[program], h.address(), "", "/draft/")
			requests++
			if err != nil {
				return false, err
			}
			tokens[program] += handed
			if status != 200 {
				f.record("turn %s of program %s at %s: %d; its clients have %d of %d tokens", requestID, programs[program], h.settings.Name, status, tokens[program], budgetTokens)
			}
			if status == 200 || status == 402 {
				return status == 200, nil
			}
			time.Sleep(250 * time.Millisecond)
		}

		return false, errors.New("a turn was refused again and again")
	}
	for program := range programs {
		programs[program] = newID()[:6]
		for number := range firstTurns {
			if ran, err := turn(program, number); err != nil || !ran {
				return false, fmt.Errorf("a first turn did not run: %w", err)
			}
		}
	}
	f.record("%d programs have used %d of %d tokens each, and pause", chargePrograms, tokens[0], budgetTokens)
	time.Sleep(2 * time.Second)
	if f.trouble {
		var restarts sync.WaitGroup
		for _, h := range f.hosts {
			h.signal(syscall.SIGTERM)
			f.record("%s gets SIGTERM", h.settings.Name)
			restarts.Go(func() {
				<-h.done
				f.record("%s has ended", h.settings.Name)
				time.Sleep(500 * time.Millisecond)
				h.start() //nolint:errcheck // the host is asked whether it is ready
			})
			time.Sleep(rollGap)
		}
		restarts.Wait()
		for _, h := range f.hosts {
			if !h.awaitReady(20 * time.Second) {
				return false, errors.New("a host is not ready")
			}
		}
	}
	// After three seconds without disruption the hosts are in touch.
	time.Sleep(5 * time.Second)
	f.record("the programs go on")
	for program := range programs {
		for number := range budgetTokens/turnTokens - firstTurns {
			ran, err := turn(program, number)
			if err != nil {
				return false, err
			}
			if !ran {
				denied++

				break
			}
		}
	}
	f.record("%d requests in all, %d of them ended with 402 though the budget held one more turn", requests, denied)

	return float64(denied) > 5+float64(requests)/500, nil
}
