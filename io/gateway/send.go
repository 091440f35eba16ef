package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

// sent is a send whose answer has begun.
type sent struct {
	*upstreamclient.Exchange

	instance *registry.Instance
	answer   platform.Answer
}

// basePriority is the engine's priority of routes of the highest rank; lower ranks follow.
const basePriority = 3

func (j *job) enginePriority() int {
	if j.service.Engine == nil {
		return -1
	}
	rank := j.route.Priority
	if j.workspace != nil && j.workspace.Priority != nil {
		rank = *j.workspace.Priority
	}

	return min(9, basePriority+rank)
}

// dispatch sends the request until an upstream answers it; the refusal says why none did.
func (g *Gateway) dispatch(ctx context.Context, j *job) (*sent, *refusal) {
	policy := retrypolicy.Policy{AllowReexecution: j.route.IsRetryable(), MaxAttempts: j.route.MaxAttempts}
	for {
		instance := g.choose(j)
		if instance == nil {
			return nil, g.noneLeft(j)
		}
		s, outcome, gone := g.send(ctx, j, instance)
		j.tries.Record(outcome)
		g.Metrics.sent(outcome.String())
		if outcome == retrypolicy.Answered {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, lostRefusal(j, "caller-gone")
		}
		if outcome == retrypolicy.Lost && g.inTime(j) {
			g.Crashes.Lost(j.fingerprint, instance)
		}
		gone = gone || (outcome == retrypolicy.Lost && policy.AllowReexecution && g.ended(ctx, instance))
		if !j.tries.ShouldRetry(policy, outcome, gone, j.deadline.Sub(g.Now())) {
			return nil, g.noneLeft(j)
		}
	}
}

// inTime reports whether the caller still waits: what breaks off at its deadline is not the upstream's fault.
func (g *Gateway) inTime(j *job) bool { return g.Now().Before(j.deadline) }

// ended reports whether an upstream has left the list, been replaced since it was chosen, or cannot be reached.
func (g *Gateway) ended(ctx context.Context, instance *registry.Instance) bool {
	current, ok := g.Catalog.Get(instance.ID)
	if !ok || current.Incarnation != instance.Incarnation || current.Address != instance.Address {
		return true
	}

	return !g.Upstream.IsReachable(ctx, instance.Address)
}

func (g *Gateway) noneLeft(j *job) *refusal {
	if j.tries.Executed > 0 {
		return lostRefusal(j, "answer-lost")
	}
	if !g.Now().Before(j.deadline) {
		return refuseUnrun("deadline", retrySoon)
	}

	return refuseUnrun("no-upstream", retrySoon)
}

// lostRefusal promises nothing where the request may have run.
func lostRefusal(j *job, reason string) *refusal {
	if j.tries.Executed == 0 {
		return refuseUnrun(reason, retrySoon)
	}

	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// stallLimit is how long an upstream may be silent before a request that may run again looks for it.
const stallLimit = 700 * time.Millisecond

// send sends the request to one upstream; gone says that this cannot be reached any more.
func (g *Gateway) send(ctx context.Context, j *job, instance *registry.Instance) (s *sent, outcome retrypolicy.Outcome, gone bool) {
	now := g.Now()
	if j.excluded == nil {
		j.excluded = make(map[id.Upstream]struct{})
	}
	j.excluded[instance.ID] = struct{}{}
	j.upstreams = append(j.upstreams, instance.ID)
	send := platform.Send{
		Upstream: instance.ID, Workspace: j.workspaceName(), Remaining: j.deadline.Sub(now),
		Priority: j.enginePriority(), LastEvent: j.resumeAfter(),
	}
	length := len(j.begun.Chain) + len(j.Body)
	head := platform.AppendHead(make([]byte, 0, headSize+length), j.Request, send, length)
	head = append(head, j.begun.Chain...)
	g.Loads.Add(instance.ID, 1)
	if part, ok := j.sharedPart(); ok {
		g.Loads.NoteRead(instance.ID, part)
	}
	stall := time.Duration(0)
	if j.route.IsRetryable() {
		stall = stallLimit
	}
	exchange, err := g.Upstream.Send(ctx, now, upstreamclient.Request{
		Address: instance.Address, Method: j.Method, Head: head, Body: j.Body, Deadline: j.deadline, ProbeAfter: stall,
		IsResponse: func(status int, header http.Header) bool {
			answered := platform.DecodeAnswer(status, header).RequestID

			return answered == "" || answered == j.ID
		},
	})
	if err != nil {
		g.Loads.Add(instance.ID, -1)
		if ctx.Err() == nil && g.inTime(j) {
			g.noteFailure(instance)
		}
		g.Logger.Info("send-failed", "request", j.ID, "upstream", instance.ID, "error", err)
		if errorx.IsOfType(err, upstreamclient.ErrNotSent) {
			return nil, retrypolicy.NotSent, true
		}

		return nil, retrypolicy.Lost, errorx.IsOfType(err, upstreamclient.ErrUnreachable)
	}
	s = &sent{Exchange: exchange, instance: instance, answer: platform.DecodeAnswer(exchange.Status, exchange.Header)}
	if outcome = s.outcome(); outcome != retrypolicy.Answered {
		g.Logger.Info("send-refused", "request", j.ID, "upstream", instance.ID, "status", exchange.Status)
		g.drop(s)
		g.noteFailure(instance)

		return nil, outcome, false
	}

	return s, retrypolicy.Answered, false
}

// headSize is room for the head of a request, in bytes.
const headSize = 1024

// resumeAfter is the event after which a stream goes on: the last passed on, else the caller's own.
func (j *job) resumeAfter() string {
	if j.lastEvent != "" {
		return j.lastEvent
	}

	return j.LastEventID
}

// outcome judges the head of an answer; one that no upstream signed is no answer to the request.
func (s *sent) outcome() retrypolicy.Outcome {
	switch {
	case s.answer.NotRun:
		return retrypolicy.NotExecuted
	case s.answer.Signed:
		return retrypolicy.Answered
	default:
		return retrypolicy.Lost
	}
}

// drop ends an exchange whose answer is not read.
func (g *Gateway) drop(s *sent) {
	s.Abort()
	g.Loads.Add(s.instance.ID, -1)
}

// finish ends an exchange whose answer was read to its end.
func (g *Gateway) finish(s *sent) {
	s.Finish(g.Now())
	g.Loads.Add(s.instance.ID, -1)
}
