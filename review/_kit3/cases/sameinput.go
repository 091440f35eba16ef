package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// commonInput is what the programs of the tenant say in each turn but the first, such as the word of an agent's loop.
const commonInput = "Continue."

// chatProgram is a program on the route that retains context.
type chatProgram struct {
	fleet    *Fleet
	key      string
	name     string
	previous string
	begunAt  time.Time
}

// programAim is the time in which a program should be finished, as in the example of the pages, and programTurns the turns of one.
const (
	programAim   = 5200 * time.Millisecond
	programTurns = 7
)

// turn sends a turn to a machine drawn at random.
func (p *chatProgram) turn(input string) Answer {
	n := p.fleet.Nodes[rand.IntN(len(p.fleet.Nodes))]
	if p.previous == "" {
		p.begunAt = time.Now()
	}
	timeLeft := max(0, programAim-time.Since(p.begunAt))
	header := map[string]string{
		"Program-Id": p.name, "Session-Id": p.name, "Program-Time-Left": fmt.Sprint(timeLeft.Milliseconds()), "Token-Budget": "100000", "Model": "m",
		"Token-Usage": fmt.Sprintf("100,%d", turnTokens), "Prompt-Prefix": "5c1e07a2:80,91bd3f06:20",
	}
	if p.previous != "" {
		header["Previous-Turn"] = p.previous
	}
	answer := Attempt{Path: "/chat/4b", Key: p.key, Body: input, Header: header}.Send(n.Front)
	p.fleet.Log("turn %s of %s after %q (%.40s) sent to %s: %d %v %s", answer.ID, p.name, p.previous, input, n.Name, answer.Status, answer.Err, refusal(answer))
	if answer.Status == http.StatusOK && answer.Err == nil {
		p.previous = answer.ID
	}

	return answer
}

// runSameInput lets runners crash one after the other while programs that say the same run.
func runSameInput() (bool, error) {
	return playSameInput(func(f *Fleet) {
		crashed := make(map[*Runner]bool)
		for range 3 {
			if isTroubled() {
				r := f.lastUsed(crashed)
				crashed[r] = true
				r.crash()
			}
			time.Sleep(6 * time.Second)
		}
	})
}

// runSameInputLost lets runners lose answers for 5.5 s while programs that say the same run.
func runSameInputLost() (bool, error) {
	return playSameInput(func(f *Fleet) {
		for _, r := range f.Runners[:4] {
			r.mu.Lock()
			if r.LosesShare = 0.025; isTroubled() {
				r.LosesUntil = time.Now().Add(5500 * time.Millisecond)
			}
			r.mu.Unlock()
		}
		time.Sleep(9 * time.Second)
	})
}

// playSameInput makes trouble while programs that say the same run, and then lets others that say it go on.
func playSameInput(trouble func(f *Fleet)) (bool, error) {
	f, err := newFleet(4)
	if err != nil {
		return false, err
	}
	defer f.Close()
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a"}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 9 {
		r := f.AddRunner("engines")
		r.EventGap, r.DownFor = 50*time.Millisecond, 4*time.Second
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var programs sync.WaitGroup
	var whole atomic.Int64
	for i := range 64 {
		programs.Go(func() {
			p := &chatProgram{fleet: f, key: tenant.Key, name: fmt.Sprintf("p%d", i)}
			for number := 0; ; number++ {
				input := commonInput
				if number%programTurns == 0 {
					p.name, p.previous = fmt.Sprintf("p%d-%d", i, number), ""
					input = "begin " + p.name
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				if answer := p.turn(input); input == commonInput && answer.Status == http.StatusOK && answer.Err == nil {
					whole.Add(1)
				}
				if p.previous == "" {
					number = programTurns*(number/programTurns+1) - 1
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	trouble(f)
	close(stop)
	programs.Wait()
	f.Log("%d turns with the common input have been answered whole", whole.Load())
	// From here on nothing has disturbed anything for stable_window_ms.
	time.Sleep(time.Second)
	firsts, starved := 0, 0
	var last []string
	for i := range 20 {
		p := &chatProgram{fleet: f, key: tenant.Key, name: fmt.Sprintf("q%d", i)}
		if p.turn("begin " + p.name); p.previous == "" {
			continue
		}
		firsts++
		reached := false
		var tries []string
		for range 6 {
			if time.Since(p.begunAt) >= programAim {
				return false, errors.New("the tries took longer than the aim")
			}
			answer := p.turn(commonInput)
			tries = append(tries, fmt.Sprintf("%d %s", answer.Status, refusal(answer)))
			if reached = f.hasRun(answer.ID); reached {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !reached {
			starved++
			last = tries
		}
	}
	f.Say("%d of 20 first turns reached a runner; %d turns that continue them reached none in 6 tries: %s", firsts, starved, strings.Join(last, "; "))
	if firsts < 18 {
		return false, fmt.Errorf("only %d of 20 first turns reached a runner", firsts)
	}

	return starved == 0, nil
}

// hasRun reports whether a runner has begun to run a request.
func (f *Fleet) hasRun(id string) bool {
	for _, run := range f.AllRuns() {
		if run.ID == id {
			return true
		}
	}

	return false
}

// lastUsed returns the runner that has begun to run a turn last, of those that have not crashed.
func (f *Fleet) lastUsed(crashed map[*Runner]bool) *Runner {
	var last *Runner
	var lastAt time.Time
	for _, r := range f.Runners {
		r.mu.Lock()
		if count := len(r.Runs); !crashed[r] && (last == nil || count > 0 && r.Runs[count-1].At.After(lastAt)) {
			last = r
			if count > 0 {
				lastAt = r.Runs[count-1].At
			}
		}
		r.mu.Unlock()
	}

	return last
}
