package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cardamomward/platform/standin"
)

// firstTurnsOfEach is the number of programs of each workspace.
const firstTurnsOfEach = 60

// playTenants has clients of two workspaces who number their attempts, each for itself, and continue their turns.
func playTenants(f *fleet) (bool, error) {
	f.startEngines(4, 8, 2*time.Millisecond)
	if err := f.configure(route{prefix: "/chat/", retainsContext: true}); err != nil {
		return false, err
	}
	if err := f.startHosts(4); err != nil {
		return false, err
	}
	if err := f.awaitOwners(); err != nil {
		return false, err
	}
	send := func(number int, key, program, requestID, previous, body string) (standin.CallerResponse, error) {
		request := standin.NewTurnRequest("/chat/a", key, program, previous, body)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()

		return request.Send(ctx, requestID, f.hosts[number%len(f.hosts)].address())
	}
	type line struct{ key, program, turn, want string }
	var lines []line
	for _, key := range []string{apiKey, otherKey} {
		for number := range firstTurnsOfEach {
			l := line{key: key, program: newID()[:6], turn: fmt.Sprintf("attempt-%04d", number+1)}
			if key == otherKey && !f.trouble {
				l.turn = "planners-" + l.turn
			}
			input := fmt.Sprintf("plan %d of %s\n", number, key)
			response, err := send(number, key, l.program, l.turn, "", input)
			if err != nil || response.Status != 200 || response.Truncated {
				return false, errors.New("a first turn was not answered whole")
			}
			l.want = input + outputOf(response.Body) + "next\n"
			lines = append(lines, l)
		}
		f.record("%s: %d turns of as many programs were answered whole, the last one as %s", key, firstTurnsOfEach, lines[len(lines)-1].turn)
	}
	denied, wrong, served := 0, 0, 0
	for number, l := range lines {
		for attempt := range 5 {
			requestID := newID()
			response, err := send(number+attempt, l.key, l.program, requestID, l.turn, "next\n")
			if err != nil {
				return false, err
			}
			run, ran := f.execution(requestID)
			switch {
			case response.Status == 404 || response.Status == 410:
				denied++
				f.record("%s: turn %s of program %s, which continues %s, is answered %d", l.key, requestID, l.program, l.turn, response.Status)
			case ran && run.Body != l.want:
				wrong++
				f.record("%s: the runner got %q instead of %q", l.key, run.Body, l.want)
			case ran:
				served++
			}
			if ran || response.Status == 404 || response.Status == 410 {
				break
			}
			time.Sleep(400 * time.Millisecond)
		}
	}
	f.record("of %d turns that continue one which was answered whole less than a minute ago %d were served, %d answered 404 or 410, %d run with another body", len(lines), served, denied, wrong)

	return denied+wrong > 0, nil
}
