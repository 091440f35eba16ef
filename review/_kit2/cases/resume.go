package main

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"

	"cardamomward/platform/standin"
)

// outputOf returns the data of each event, followed by a line feed.
func outputOf(events string) string { return standin.StreamOutput(events) }

// playResume breaks a turn of a route that retains context and is resumable; the client resumes it, gets the rest, and continues the turn.
func playResume(f *fleet) (bool, error) {
	const path, prefix = "/talk/a", "/talk/"
	f.startEngines(4, 10, 100*time.Millisecond)
	if err := f.configure(route{prefix: prefix, retainsContext: true, resumable: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(4); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	// A stream may be resumed without the name of its first attempt once the runners have had one version for longer than a stream lives.
	time.Sleep(36 * time.Second)
	program := newID()[:6]
	send := func(h *host, previous, body, lastEventID string) (string, standin.CallerResponse, error) {
		requestID := newID()
		request := standin.NewTurnRequest(path, apiKey, program, previous, body)
		if lastEventID != "" {
			request.Header["Last-Event-Id"] = lastEventID
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		response, err := request.Send(ctx, requestID, h.address())
		f.record("turn %s at %s, previous %q, last event %q: %d %v, truncated %t, %q", requestID, h.settings.Name, previous, lastEventID, response.Status, err, response.Truncated, response.Body)

		return requestID, response, err
	}
	if f.trouble {
		time.AfterFunc(550*time.Millisecond, func() {
			f.hosts[0].signal(syscall.SIGKILL)
			f.record("%s is killed", f.hosts[0].settings.Name)
		})
	}
	const firstInput, secondInput = "first input\n", "second input\n"
	turn, response, err := send(f.hosts[0], "", firstInput, "")
	if err != nil || response.Status != 200 {
		return false, errors.New("the first turn has not begun")
	}
	events := response.Body
	if response.Truncated != f.trouble {
		return false, errors.New("the first turn did not end as expected")
	}
	if f.trouble {
		events = events[:strings.LastIndex(events, "\n\n")+2]
		lastEventID := ""
		for line := range strings.Lines(events) {
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				lastEventID = strings.TrimSpace(value)
			}
		}
		for attempt := 0; ; attempt++ {
			time.Sleep(200 * time.Millisecond)
			turn, response, err = send(f.hosts[1+attempt%3], "", firstInput, lastEventID)
			if err == nil && response.Status == 200 && !response.Truncated {
				break
			}
			if attempt > 10 {
				return false, errors.New("the turn could not be resumed")
			}
		}
		events += response.Body
	}
	f.record("the client has %q", events)
	if events != standin.StreamText(standin.InitialVersion, 10) {
		return false, errors.New("the client has not the whole stream")
	}
	want := firstInput + outputOf(events) + secondInput
	var next string
	for attempt := 0; ; attempt++ {
		time.Sleep(300 * time.Millisecond)
		if next, response, err = send(f.hosts[1+attempt%3], turn, secondInput, ""); err == nil && response.Status == 200 {
			break
		}
		if attempt > 20 {
			return false, errors.New("the second turn did not run")
		}
	}
	run, ok := f.execution(next)
	if !ok {
		return false, errors.New("no runner has run the second turn")
	}
	f.record("the runner was to get %q", want)
	f.record("the runner got        %q", run.Body)

	return run.Body != want, nil
}
