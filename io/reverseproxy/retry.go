package reverseproxy

import (
	"context"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/reachability"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
)

// endReason is why an upstream's process counts as ended after a request to it was lost; it is empty while the process
// counts as running.
type endReason string

const (
	replaced    endReason = "replaced"
	unreachable endReason = "unreachable"
)

// retryPolicy returns the limits of the retries of the request's route.
func (req *proxiedRequest) retryPolicy() retrypolicy.Policy {
	return retrypolicy.Policy{AllowReexecution: req.route.IsRetryable(), MaxAttempts: req.route.MaxAttempts}
}

// shouldRetry reports whether the request may be sent to another upstream after an attempt, and logs the decision if the
// attempt may have run. The reason says why the process that lost the request counts as ended.
func (p *Proxy) shouldRetry(req *proxiedRequest, instance *registry.Instance, outcome retrypolicy.Outcome, reason endReason) bool {
	policy := req.retryPolicy()
	again := req.attempts.ShouldRetry(policy, outcome, reason != "", req.deadline.Sub(p.Now()))
	if outcome == retrypolicy.Lost {
		p.Logger.Info("attempt-lost", "request", req.ID, "upstream", instance.ID, "incarnation", instance.Incarnation, "fingerprint", req.fingerprint,
			"ended", reason, "executed", req.attempts.Executed, "allowed", policy.MaxAttempts, "again", again)
	}

	return again
}

// diagnoseLoss returns why an upstream that lost a request counts as ended, and records a crash unless the link to it is at fault.
// Requests that are not retried do not wait for the diagnosis.
func (p *Proxy) diagnoseLoss(ctx context.Context, req *proxiedRequest, instance *registry.Instance) endReason {
	if ctx.Err() != nil {
		return ""
	}
	mayBeCrash := p.isBeforeDeadline(req)
	if !req.route.IsRetryable() {
		if mayBeCrash {
			p.recordPossibleRestart(req, instance)
			go p.recordCrash(context.WithoutCancel(ctx), req.fingerprint, instance)
		}

		return ""
	}
	reason := p.findEndReason(ctx, req, instance)
	if mayBeCrash {
		p.recordPossibleRestart(req, instance)
	}
	if mayBeCrash && !p.UpstreamClient.IsPathBroken(instance.Address) {
		p.Crashes.RecordCrash(req.fingerprint, instance)
	}

	return reason
}

// recordPossibleRestart treats an upstream that lost a request as cold: its process may have been replaced, and the registration of
// the new one is read later.
func (p *Proxy) recordPossibleRestart(req *proxiedRequest, instance *registry.Instance) {
	p.Limits.RecordCold(instance, req.service.ColdStart.Duration, req.service.ColdStart, coldstart.FromFailure)
}

// recordCrash records that an upstream failed before its response to a request was complete, unless other hosts reach it while
// this one does not.
func (p *Proxy) recordCrash(ctx context.Context, fingerprint id.Fingerprint, instance *registry.Instance) {
	p.UpstreamClient.Diagnose(ctx, instance.Address)
	if !p.UpstreamClient.IsPathBroken(instance.Address) {
		p.Crashes.RecordCrash(fingerprint, instance)
	}
}

// findEndReason returns why an upstream that lost a request counts as ended: it was replaced since it was chosen, or
// refuses connections. Silence shows neither, nor does a missing registration: upstreams that leave continue to run.
func (p *Proxy) findEndReason(ctx context.Context, req *proxiedRequest, instance *registry.Instance) endReason {
	if !req.route.IsRetryable() {
		return ""
	}
	current, ok := p.Discovery.GetUpstream(instance.ID)
	switch {
	case ok && (current.Incarnation != instance.Incarnation || current.Address != instance.Address):
		return replaced
	case p.UpstreamClient.Diagnose(ctx, instance.Address) == reachability.Refused && ctx.Err() == nil:
		return unreachable
	default:
		return ""
	}
}
