package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
)

const (
	programCallers = 6
	streamCallers  = 3
	budgetCallers  = 2
	rateCallers    = 3
	orderCallers   = 6
	// attemptTimeout bounds an attempt at a host that does not respond; the request itself has 3 s.
	attemptTimeout = 4 * time.Second
	// moveShare is the share of requests before which a caller moves to another host; else it uses its open connection again.
	moveShare = 0.2
	// giveUpAfter is the time after which a caller ends a program or stream that it cannot continue, before the last fault has ended.
	giveUpAfter = 20 * time.Second
	// settleLimit bounds the attempts to continue a program after the last fault: longer than the limit that is checked, so that a late
	// recovery is told from none.
	settleLimit = recovery + 15*time.Second
	maxTurns    = 8
	// budgetTokens is the budget of programs that spend all of it, and maxBudgetTurns bounds their turns.
	budgetTokens   = 600
	maxBudgetTurns = 30
	// ratePause is the time after a refusal at which a caller of the limited workspace sends again.
	ratePause = 30 * time.Millisecond
	// branchShare is the share of turns that another program continues from an earlier turn.
	branchShare = 0.2
)

// caller sends requests one after another, over connections that it keeps.
type caller struct {
	run    *run
	name   string
	random *rand.Rand
	client *http.Client
	host   *host
	// key returns the API key of the next request.
	key        func() string
	operations int
}

func (r *run) newCaller(name string, number uint64) *caller {
	return &caller{
		run: r, name: name, random: rand.New(rand.NewPCG(uint64(r.options.Plan.Seed), 2+number)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		key:    func() string { return permanentKey },
	}
}

// startCallers starts all callers; they end once each program has settled.
func (r *run) startCallers(ctx context.Context, callers *sync.WaitGroup) {
	number := uint64(0)
	start := func(name string, loop func(c *caller)) {
		c := r.newCaller(name, number)
		number++
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			loop(c)
		})
	}
	for i := range programCallers {
		start(fmt.Sprintf("program-%d", i), func(c *caller) { c.runPrograms(ctx) })
	}
	for i := range streamCallers {
		start(fmt.Sprintf("stream-%d", i), func(c *caller) { c.repeat(ctx, c.receiveStream) })
	}
	for i := range orderCallers {
		start(fmt.Sprintf("order-%d", i), func(c *caller) { c.repeat(ctx, c.sendOrder) })
	}
	for i := range budgetCallers {
		start(fmt.Sprintf("budget-%d", i), func(c *caller) { c.repeat(ctx, c.spendBudget) })
	}
	for i := range rateCallers {
		start(fmt.Sprintf("rate-%d", i), func(c *caller) {
			c.key = func() string { return limitedKey }
			for !c.isSettling() && ctx.Err() == nil {
				c.move(moveShare)
				if request := c.probe(ctx); request.Status != http.StatusOK {
					sleep(ctx, ratePause)
				}
			}
		})
	}
	for _, h := range r.hosts {
		start("probe-"+string(h.name), func(c *caller) {
			c.host, c.key = h, func() string { return r.keys.pick(c.random) }
			c.repeat(ctx, func(ctx context.Context) { c.probe(ctx) })
		})
	}
}

// awaitServing waits until each host completes a turn.
func (r *run) awaitServing(ctx context.Context) error {
	c := r.newCaller("start", 0)
	defer c.client.CloseIdleConnections()
	for _, h := range r.hosts {
		isServed := false
		for until := time.Now().Add(readyTimeout); !isServed; {
			c.host = h
			request := c.send(ctx, check.Turn, c.newOperation(), "", "", c.name)
			if isServed = request.Status == http.StatusOK && request.IsWhole; !isServed && (time.Now().After(until) || !sleep(ctx, pollInterval)) {
				return fmt.Errorf("%s does not complete a turn; the last status is %d", h.name, request.Status)
			}
		}
	}

	return nil
}

func (c *caller) isSettling() bool {
	select {
	case <-c.run.settling:
		return true
	default:
		return false
	}
}

// pause waits a random time.
func (c *caller) pause(ctx context.Context) bool {
	return sleep(ctx, 40*time.Millisecond+time.Duration(c.random.IntN(120))*time.Millisecond)
}

// move chooses another host for some requests, so that others use open connections again.
func (c *caller) move(share float64) {
	if c.host == nil || c.random.Float64() < share {
		c.host = c.run.hosts[c.random.IntN(len(c.run.hosts))]
	}
}

func (c *caller) repeat(ctx context.Context, step func(ctx context.Context)) {
	for !c.isSettling() {
		step(ctx)
		if !c.pause(ctx) {
			return
		}
	}
}

// newOperation returns a name that no other operation of the run contains.
func (c *caller) newOperation() string {
	c.operations++

	return fmt.Sprintf("%s.%d.", c.name, c.operations)
}

// newRequest returns the record of an attempt that is about to be sent.
func (c *caller) newRequest(kind check.Kind, operation string) check.Request {
	return check.Request{
		ID: check.RequestID(fmt.Sprintf("soak-%d", c.run.requests.Add(1))), Kind: kind, Host: c.host.name, Key: c.key(), Operation: operation,
	}
}

var paths = map[check.Kind]string{check.Turn: "/chat/", check.Stream: "/draft/", check.Order: "/order/", check.Probe: "/look/"}

// send sends one attempt and records it.
func (c *caller) send(ctx context.Context, kind check.Kind, operation string, previous check.RequestID, transcript, program string) check.Request {
	request := c.newRequest(kind, operation)
	request.Previous = previous
	input := operation + ";"
	call := standin.CallerRequest{Path: paths[kind], APIKey: request.Key, Body: input, Header: map[string]string{}}
	if kind == check.Turn {
		request.Transcript = transcript + input
		call = standin.NewTurnRequest(paths[kind], request.Key, program, string(previous), input)
		call.Header["Token-Budget"] = "1000000"
	}
	call.Header[tagHeader] = operation
	attempt := func(ctx context.Context) (standin.CallerResponse, error) {
		return call.SendWith(ctx, c.client, string(request.ID), c.host.callerAddress)
	}

	c.record(ctx, &request, attempt)

	return request
}

// record makes an attempt and records its response.
func (c *caller) record(ctx context.Context, request *check.Request, attempt func(ctx context.Context) (standin.CallerResponse, error)) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request.SentAt = time.Now()
	response, err := attempt(attemptCtx)
	request.EndedAt = time.Now()
	request.HasLeft = request.HasLeft || attemptCtx.Err() != nil || errors.Is(err, context.DeadlineExceeded)
	if err == nil {
		request.Status, request.Body, request.IsWhole = response.Status, response.Body, !response.Truncated
		request.IsFromUpstream, request.AnsweredID = response.IsFromUpstream(), check.RequestID(response.AnsweredID())
	}
	if ctx.Err() == nil {
		c.run.recorder.addRequest(*request)
	}
}

// turn is a turn that was answered whole.
type turn struct {
	id         check.RequestID
	transcript string
}

// runPrograms runs programs one after another until the faults have ended and a turn was answered after that.
func (c *caller) runPrograms(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		program := fmt.Sprintf("%s-%d", c.name, number)
		turns := []turn{{}}
		for len(turns) <= maxTurns && ctx.Err() == nil {
			last := turns[len(turns)-1]
			isSettling := c.isSettling()
			next, ok := c.continueTurn(ctx, program, last)
			if isSettling {
				return
			}
			if !ok {
				break
			}
			turns = append(turns, next)
			if c.random.Float64() < branchShare {
				c.continueTurn(ctx, "branch-"+program, turns[1+c.random.IntN(len(turns)-1)])
			}
			c.pause(ctx)
		}
	}
}

// continueTurn sends a turn until it is answered whole; false means that the program cannot go on.
func (c *caller) continueTurn(ctx context.Context, program string, last turn) (turn, bool) {
	operation := c.newOperation()
	begunAt := time.Now()
	settlement := check.Settlement{Operation: operation, Previous: last.id}
	var settleUntil time.Time
	for moveNext := moveShare; ctx.Err() == nil; moveNext = 1 {
		if settleUntil.IsZero() && c.isSettling() {
			settleUntil = time.Now().Add(settleLimit)
			defer func() { c.run.recorder.addSettlement(settlement) }()
		}
		c.move(moveNext)
		request := c.send(ctx, check.Turn, operation, last.id, last.transcript, program)
		settlement.LastStatus = request.Status
		switch {
		case request.Status == http.StatusOK && request.IsWhole:
			settlement.ServedAt = request.EndedAt

			return turn{id: request.ID, transcript: request.Transcript + standin.StreamOutput(request.Body)}, true
		case request.Status == http.StatusPaymentRequired:
			// Losses of all hosts are charged to the budgets of programs.
			settlement.ServedAt = request.EndedAt

			return turn{}, false
		case request.Status == http.StatusNotFound || request.Status == http.StatusGone:
			// Whether the turn had to be found is checked for the request.
			settlement.ServedAt = request.EndedAt

			return turn{}, false
		case settleUntil.IsZero() && time.Since(begunAt) > giveUpAfter, !settleUntil.IsZero() && time.Now().After(settleUntil):
			return turn{}, false
		}
		c.pause(ctx)
	}

	return turn{}, false
}

// receiveStream receives a resumable stream over several attempts at different hosts; it disconnects in the middle of some.
func (c *caller) receiveStream(ctx context.Context) {
	operation := c.newOperation()
	stream := &standin.CallerStream{Client: c.client, Request: standin.NewTurnRequest(paths[check.Stream], c.key(), operation, "", operation)}
	stream.Request.Header[tagHeader], stream.Request.Header["Token-Budget"] = operation, "1000000"
	for until := time.Now().Add(giveUpAfter / 2); !stream.IsComplete && time.Now().Before(until) && ctx.Err() == nil; {
		c.move(0.5)
		request := c.newRequest(check.Stream, operation)
		stream.Request.DisconnectAfterEvents = c.random.IntN(eventCount)
		host := c.host
		c.record(ctx, &request, func(ctx context.Context) (standin.CallerResponse, error) {
			response, err := stream.Attempt(ctx, string(request.ID), host.callerAddress)
			if limit := stream.Request.DisconnectAfterEvents; limit > 0 && strings.Count(response.Body, "\n\n") >= limit {
				request.HasLeft = true
			}

			return response, err
		})
		c.pause(ctx)
	}
	c.run.recorder.addReceived(check.Received{Operation: operation, Events: stream.Events, IsComplete: stream.IsComplete})
}

// spendBudget runs turns of a program until its budget is spent.
func (c *caller) spendBudget(ctx context.Context) {
	program := c.newOperation()
	for turn := 0; turn < maxBudgetTurns && ctx.Err() == nil && !c.isSettling(); turn++ {
		c.move(moveShare)
		operation := c.newOperation()
		request := c.newRequest(check.Stream, operation)
		request.Program, request.Budget = program, budgetTokens
		call := standin.NewTurnRequest(paths[check.Stream], request.Key, program, "", operation)
		call.Header[tagHeader], call.Header["Token-Budget"] = operation, strconv.Itoa(budgetTokens)
		c.record(ctx, &request, func(ctx context.Context) (standin.CallerResponse, error) {
			return call.SendWith(ctx, c.client, string(request.ID), c.host.callerAddress)
		})
		if request.Status == http.StatusPaymentRequired {
			return
		}
		if request.Status != http.StatusOK {
			c.pause(ctx)
		}
	}
}

// maxOrderAttempts bounds the attempts at an order.
const maxOrderAttempts = 10

// sendOrder sends a call that must not be repeated, and sends it again only after a rejection.
func (c *caller) sendOrder(ctx context.Context) {
	operation := c.newOperation()
	for moveNext, attempt := moveShare, 0; attempt < maxOrderAttempts && ctx.Err() == nil; attempt++ {
		c.move(moveNext)
		request := c.send(ctx, check.Order, operation, "", "", "")
		if request.Status != http.StatusServiceUnavailable && request.Status != http.StatusTooManyRequests || request.IsFromUpstream {
			return
		}
		moveNext = 1
		c.pause(ctx)
	}
}

// probe tests an API key at the caller's host.
func (c *caller) probe(ctx context.Context) check.Request {
	return c.send(ctx, check.Probe, c.newOperation(), "", "", "")
}
