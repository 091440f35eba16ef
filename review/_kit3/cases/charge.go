package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// settleTime is settle_ms: turns that ended whole so long ago count with what they generated.
const settleTime = time.Second

// runCharge restarts the machines in turn while programs run, and looks for programs that are told too early that their budget is spent.
func runCharge() (bool, error) {
	const programs, budget = 60, 10 * turnTokens
	f, err := newFleet(6)
	if err != nil {
		return false, err
	}
	defer f.Close()
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a"}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 8 {
		r := f.AddRunner("engines")
		r.EventGap = 200 * time.Millisecond
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	requests, denied, others := 0, 0, 0
	run := func(number int) {
		directory := &Directory{fleet: f}
		name := fmt.Sprintf("3fa8%02d", number)
		most := 0
		for failures := 0; failures < 12; {
			front := directory.Pick()
			n := f.nodeAt(front)
			if n == nil {
				time.Sleep(100 * time.Millisecond)

				continue
			}
			answer, tokens := runTurn(n, tenant.Key, name, budget)
			mu.Lock()
			requests++
			mu.Unlock()
			switch {
			case answer.Status == http.StatusPaymentRequired:
				isInTouch, isDenied := n.InTouch(time.Now()), most+turnTokens <= budget
				f.Log("%s is told that its budget of %d is spent; its turns count %d at their most; in touch %t", name, budget, most, isInTouch)
				mu.Lock()
				if isDenied && isInTouch {
					denied++
				} else if isDenied {
					others++
				}
				mu.Unlock()

				return
			case answer.Status == http.StatusOK && answer.Err == nil:
				most += tokens
			default:
				failures++
				if answer.Status == 0 {
					directory.Failed(front)
				}
				if answer.Status != http.StatusServiceUnavailable {
					// The turn may have run, and counts with the most that it may generate.
					most += turnTokens
				}
			}
			time.Sleep(settleTime + time.Duration(100+rand.IntN(300))*time.Millisecond)
		}
	}
	var running sync.WaitGroup
	for number := range programs {
		running.Go(func() {
			time.Sleep(time.Duration(number) * 30 * time.Millisecond)
			run(number)
		})
	}
	time.Sleep(4 * time.Second)
	var restarts sync.WaitGroup
	for _, n := range f.Nodes {
		if isTroubled() {
			restarts.Go(func() {
				n.Stop()
				if err := n.Start(); err != nil {
					f.Log("%s does not start: %v", n.Name, err)
				}
			})
		}
		time.Sleep(2 * time.Second)
	}
	restarts.Wait()
	running.Wait()
	limit := 5 + float64(requests)/500
	f.Say("%d of %d programs were told too early by machines in touch that their budget is spent, %d by others; %d requests, so the rule allows %.1f", denied, programs, others, requests, limit)

	return float64(denied) <= limit, nil
}

// nodeAt returns the machine with an address for clients, or nil.
func (f *Fleet) nodeAt(front string) *Node {
	for _, n := range f.Nodes {
		if n.Front == front {
			return n
		}
	}

	return nil
}
