package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

// spender is a program that runs turns at one machine after the other, and counts the tokens that it got.
type spender struct {
	fleet   *Fleet
	key     string
	program string
	budget  int
	next    int
	tokens  int
}

// turn runs a turn, and runs it again after 503 and other failures until it got tokens or 402.
func (s *spender) turn() (status int) {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		answer, tokens := runTurn(s.fleet.Nodes[s.next%len(s.fleet.Nodes)], s.key, s.program, s.budget)
		s.next++
		s.tokens += tokens
		if status = answer.Status; status == http.StatusOK || status == http.StatusPaymentRequired {
			return status
		}
	}

	return status
}

// spend runs turns until the budget is said to be spent, three times in a row.
func (s *spender) spend(most int) {
	for spent := 0; spent < 3 && most > 0; most-- {
		if s.turn() == http.StatusPaymentRequired {
			spent++
		} else {
			spent = 0
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// check reports whether the tokens are within the budget and the most of one turn.
func (s *spender) check() bool {
	s.fleet.Say("the program got %d tokens of a budget of %d; the most of one turn is %d", s.tokens, s.budget, turnTokens)

	return s.tokens <= s.budget+turnTokens
}

// newBudgetFleet starts machines and engines for programs.
func newBudgetFleet(retention float64) (*Fleet, *spender, error) {
	f, err := newFleet(6)
	if err != nil {
		return nil, nil, err
	}
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a", Rate: 240, Burst: 240}
	f.Configure(1, []Tenant{tenant}, retention)
	for range 3 {
		r := f.AddRunner("engines")
		r.EventGap = 5 * time.Millisecond
		if err = r.Start(); err != nil {
			break
		}
	}
	if err == nil {
		err = f.StartAll(4 * time.Second)
	}
	if err != nil {
		f.Close()

		return nil, nil, err
	}

	return f, &spender{fleet: f, key: tenant.Key, program: "3fa81c", budget: 1200}, nil
}

// runBudget kills all machines at the same moment, three times, each time right after a turn of a program was answered whole.
func runBudget() (bool, error) {
	f, s, err := newBudgetFleet(retentionS)
	if err != nil {
		return false, err
	}
	defer f.Close()
	for range 3 {
		if s.turn() != http.StatusOK {
			return false, errors.New("a turn was not answered")
		}
		time.Sleep(1500 * time.Millisecond)
		if s.turn() != http.StatusOK {
			return false, errors.New("a turn was not answered")
		}
		if !isTroubled() {
			continue
		}
		f.Log("all machines are killed")
		for _, n := range f.Nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range f.Nodes {
			n.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		// The machines have recovery_s to recover before the next loss.
		if err := f.StartAll(11 * time.Second); err != nil {
			return false, err
		}
	}
	s.spend(40)

	return s.check(), nil
}

// runRetention lets a program whose budget is spent return within the retention of its route.
func runRetention() (bool, error) {
	const retention = 120
	f, s, err := newBudgetFleet(retention)
	if err != nil {
		return false, err
	}
	defer f.Close()
	s.spend(40)
	endedAt := time.Now()
	if isTroubled() {
		time.Sleep(88 * time.Second)
	}
	f.Log("the program returns %.1f s after its last turn, within retention_s of %d", time.Since(endedAt).Seconds(), retention)
	s.spend(12)

	return s.check(), nil
}
