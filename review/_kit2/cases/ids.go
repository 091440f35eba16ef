package main

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomward/platform/standin"
)

const (
	// longIDBytes is the length of the long id; the head of a request may have 16,384 bytes.
	longIDBytes = 300
	// recovery is recovery_s of the site, and lastServed the time before its end in which other turns are looked at.
	recovery   = 12 * time.Second
	lastServed = 4 * time.Second
	shortTurns = 4
)

// retainedTurn sends a turn of a route that retains context.
func retainedTurn(f *fleet, h *host, requestID, program, previous string) (standin.CallerResponse, error) {
	request := standin.NewTurnRequest("/chat/a", apiKey, program, previous, "input\n")
	request.Header["Token-Budget"] = "100000"
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := request.Send(ctx, requestID, h.address())
	f.record("turn %.24s (%d bytes) at %s, previous %.24s: %d %v, whole %t", requestID, len(requestID), h.settings.Name, previous, response.Status, err, err == nil && !response.Truncated)

	return response, err
}

// playIDs has turns answered whole, of which one has a long id, and continues them after the loss of all processes.
func playIDs(f *fleet) (bool, error) {
	f.startEngines(4, 8, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/chat/", retainsContext: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(6); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	type line struct{ program, turn string }
	var lines []line
	for number := range shortTurns + 1 {
		l := line{program: newID()[:6], turn: newID()}
		if number == 0 {
			l.turn += strings.Repeat("/chapter/step", longIDBytes)[:longIDBytes-len(l.turn)]
		}
		response, err := retainedTurn(f, f.hosts[number%len(f.hosts)], l.turn, l.program, "")
		if err != nil || response.Status != 200 || response.Truncated {
			return false, errors.New("a turn was not answered whole")
		}
		lines = append(lines, l)
	}
	answered := time.Now()
	time.Sleep(2 * time.Second)
	if f.trouble {
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		var ends sync.WaitGroup
		for _, h := range f.hosts {
			ends.Go(h.kill)
		}
		ends.Wait()
		f.record("all processes are killed")
		time.Sleep(800 * time.Millisecond)
		for _, h := range f.hosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	var served, asked [2]int
	denied, longServed := 0, 0
	for number := 0; time.Since(back) < recovery; number++ {
		for index, l := range lines {
			requestID := newID()
			response, err := retainedTurn(f, f.hosts[(number+index)%len(f.hosts)], requestID, l.program, l.turn)
			_, ran := f.execution(requestID)
			kind := 1
			if index == 0 {
				kind = 0
				if ran {
					longServed++
				}
				if err == nil && (response.Status == 404 || response.Status == 410) {
					denied++
				}
			}
			if time.Since(back) > recovery-lastServed {
				asked[kind]++
				if ran {
					served[kind]++
				}
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	f.record("%s after the first turns: of the turns that continue the one with the long id %d reached a runner, %d were answered 404 or 410; of the others %d of %d reached one in the last %s",
		time.Since(answered).Round(time.Second), longServed, denied, served[1], asked[1], lastServed)
	if 5*served[1] < 4*asked[1] {
		return false, errors.New("the other turns are not served either")
	}

	return denied > 0 || longServed == 0, nil
}
