package cluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// markWait bounds how long a turn waits for its program's mark to become durable.
	markWait = 600 * time.Millisecond
	// keepWait bounds how long a turn waits to become durable before its owner says that it cannot tell.
	keepWait = 1500 * time.Millisecond
	// awayCheck is how often those that wait look whether the store is away for all.
	awayCheck = 200 * time.Millisecond
)

// service answers the requests of peers to the slots of this host.
type service struct{ fleet *Cluster }

var _ fleetpb.Slots = (*service)(nil)

// BeginTurn reserves a turn's tokens and returns the chain before it.
func (v *service) BeginTurn(ctx context.Context, req *fleetpb.BeginTurnRequest) (*fleetpb.BeginTurnReply, error) {
	s := v.fleet.slots[v.fleet.slotOf(req.Program)]
	reply := &fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serves(ctx, v.fleet.Now()) {
		reply.Outcome = fleetpb.Outcome_OUTCOME_NOT_OWNER

		return reply, nil
	}
	if req.Previous != "" && !req.HaveChain {
		chain, ok := s.book.Transcript(id.Workspace(req.Workspace), req.Previous)
		if !ok {
			reply.Outcome = fleetpb.Outcome_OUTCOME_UNKNOWN_TURN

			return reply, nil
		}
		reply.Chain = chain
	}
	program := id.Program(req.Program)
	reply.Begun = s.lines.HasProgram(program) || s.ledger.HasUsage(program)
	if req.Budget > 0 {
		reply.Outcome, reply.Mark = s.reserve(ctx, req)
	}
	place := s.lines.Lookup(program, req.Line)
	reply.Last, reply.Kept = string(place.Upstream), int64(place.CachedTokens)

	return reply, nil
}

// reserve reserves a turn's tokens, waiting for the program's mark where it must; the caller holds the lock.
func (s *slot) reserve(ctx context.Context, req *fleetpb.BeginTurnRequest) (fleetpb.Outcome, int64) {
	began := s.fleet.Now()
	limit := began.Add(min(markWait, time.Duration(req.WaitMillis)*time.Millisecond))
	turn := tokenbudget.Turn{
		Program: id.Program(req.Program), Attempt: req.Attempt,
		BudgetTokens: id.Tokens(req.Budget), MaxTokens: id.Tokens(req.MaxTokens),
		Deadline:  began.Add(time.Duration(req.DeadlineMillis) * time.Millisecond),
		Retention: budgetRetention,
	}
	for {
		now := s.fleet.Now()
		decision, mark := s.ledger.Reserve(now, turn, s.away(now))
		switch decision {
		case tokenbudget.Exhausted:
			if mark.Tokens > 0 {
				s.recordMark(now, mark, true)
			}

			return fleetpb.Outcome_OUTCOME_SPENT, 0
		case tokenbudget.Admit:
			s.recordMark(now, mark, false)

			return fleetpb.Outcome_OUTCOME_OK, int64(mark.Tokens)
		case tokenbudget.AwaitDurable:
			s.recordMark(now, mark, true)
		case tokenbudget.AlreadySettled:
			return fleetpb.Outcome_OUTCOME_UNSURE, 0
		}
		if !now.Before(limit) || ctx.Err() != nil {
			return fleetpb.Outcome_OUTCOME_UNSURE, 0
		}
		s.wait(ctx, awayCheck)
		if s.state != serving {
			return fleetpb.Outcome_OUTCOME_NOT_OWNER, 0
		}
	}
}

// budgetRetention is how long after its last turn a program's count is kept: a program that was stopped may
// return within its route's retention of a minute.
const budgetRetention = 75 * time.Second

// wait gives the lock up until something changes; the caller holds the lock.
func (s *slot) wait(ctx context.Context, limit time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// recordMark makes a mark durable; the caller holds the lock.
func (s *slot) recordMark(now time.Time, mark tokenbudget.Watermark, urgent bool) {
	value, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Budget{Budget: &fleetpb.BudgetMark{
		Mark: int64(mark.Tokens), RetentionMillis: mark.ExpiresAt.Sub(now).Milliseconds(), WrittenUnixMillis: now.UnixMilli(),
	}}})
	if err != nil {
		s.fleet.Logger.Error(err, "mark-lost", "program", mark.Program)

		return
	}
	record := platform.Record{Key: budgetKey + string(mark.Program), Value: value}
	s.writer.add(entry{record: record, done: func() { s.ledger.MarkDurable(mark) }}, urgent)
}

// EndTurn settles a turn and keeps it where it is to be kept.
func (v *service) EndTurn(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	s := v.fleet.slots[v.fleet.slotOf(req.Program)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serves(ctx, v.fleet.Now()) {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	if req.Kept != nil && !s.complete(req.Kept) {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}, nil
	}
	if req.Attempt != "" {
		s.ledger.Settle(id.Program(req.Program), req.Attempt, id.Tokens(req.Tokens))
	}
	if req.Upstream != "" {
		place := affinity.Location{Upstream: id.Upstream(req.Upstream), CachedTokens: id.Tokens(req.Cached)}
		s.lines.Record(v.fleet.Now(), id.Program(req.Program), req.Line, place)
	}
	if req.Kept == nil {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Durable: true}, nil
	}

	return s.keep(ctx, req.Kept), nil
}

// withoutBase returns a turn for a slot that keeps the turn before it; copies elsewhere still need the base.
func withoutBase(kept *fleetpb.KeptTurn) *fleetpb.KeptTurn {
	return &fleetpb.KeptTurn{
		Id: kept.Id, Program: kept.Program, Workspace: kept.Workspace, Previous: kept.Previous, Input: kept.Input,
		Output: kept.Output, RetentionMillis: kept.RetentionMillis, EndedUnixMillis: kept.EndedUnixMillis,
	}
}

// complete reports whether a turn can be kept: it begins a chain, or has the chain before it here; the caller holds the
// lock.
func (s *slot) complete(kept *fleetpb.KeptTurn) bool {
	return kept.Previous == "" || len(kept.Base) > 0 || s.book.Contains(id.Workspace(kept.Workspace), kept.Previous)
}

// add keeps a turn in memory and writes it; done is closed when it is durable. The caller holds the lock.
func (s *slot) add(now time.Time, kept *fleetpb.KeptTurn) (done <-chan struct{}) {
	durable := make(chan struct{})
	if s.book.Contains(id.Workspace(kept.Workspace), kept.Previous) {
		kept = withoutBase(kept)
	}
	value, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: kept}})
	if err != nil {
		s.fleet.Logger.Error(err, "turn-lost", "turn", kept.Id)

		return durable
	}
	s.book.Add(turnOf(kept, now.Add(time.Duration(kept.RetentionMillis)*time.Millisecond+retentionMargin)))
	record := platform.Record{Key: turnKey + kept.Id, Value: value}
	s.writer.add(entry{record: record, done: func() { close(durable) }, turn: kept}, true)

	return durable
}

// keep keeps a turn and waits until it is durable, or until the store is away for all; the caller holds the lock.
func (s *slot) keep(ctx context.Context, kept *fleetpb.KeptTurn) *fleetpb.EndTurnReply {
	now := s.fleet.Now()
	durable := s.add(now, kept)
	for limit := now.Add(keepWait); ; s.wait(ctx, awayCheck) {
		select {
		case <-durable:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Durable: true}
		default:
		}
		switch now = s.fleet.Now(); {
		case s.state != serving:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}
		case s.away(now):
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK}
		case !now.Before(limit) || ctx.Err() != nil:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}
		}
	}
}

// certain reports whether a turn that is not here does not exist in the slot; the caller holds the lock.
func (s *slot) certain(now time.Time) bool {
	return s.state == serving && !s.partial && (s.first || now.Sub(s.since) >= certainAfter)
}

// FindTurn looks for a turn in all slots of this host.
func (v *service) FindTurn(_ context.Context, req *fleetpb.FindTurnRequest) (*fleetpb.FindTurnReply, error) {
	reply := &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}
	if !v.fleet.mayOwn(v.fleet.Now()) {
		return reply, nil
	}
	for _, s := range v.fleet.slots {
		s.mu.Lock()
		if s.certain(v.fleet.Now()) {
			reply.Slots = append(reply.Slots, int32(s.index))
		}
		if chain, ok := s.book.Transcript(id.Workspace(req.Workspace), req.Turn); ok && s.state == serving {
			reply.Outcome, reply.Chain = fleetpb.Outcome_OUTCOME_OK, chain
		}
		s.mu.Unlock()
	}

	return reply, nil
}

// Admit grants an allowance of a workspace's rate.
func (v *service) Admit(ctx context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	c := v.fleet
	s := c.slots[c.slotOf(req.Workspace)]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if !s.serves(ctx, now) && (s.state == idle || !c.mayOwn(now)) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	limit := quota.Limit{Rate: req.Rate, Burst: req.Burst}.Scale(c.peers.heardShare(now))
	if req.Starting {
		ok, retry := s.pool(id.Workspace(req.Workspace)).AdmitProgram(now, limit)
		reply := &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, RetryMillis: retry.Milliseconds()}
		if ok {
			reply.Allowed = 1
		}

		return reply, nil
	}
	granted, retry := s.pool(id.Workspace(req.Workspace)).Allocate(now, limit, id.Host(req.Host), req.Used, req.Want)

	return &fleetpb.AdmitReply{
		Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: granted, RetryMillis: retry.Milliseconds(),
	}, nil
}
