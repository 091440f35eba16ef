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
	// maxWatermarkWait bounds how long a turn waits for its program's watermark to become durable.
	maxWatermarkWait = 600 * time.Millisecond
	// maxDurableWait bounds how long the end of a turn waits for the turn to become durable before its outcome is
	// reported as uncertain.
	maxDurableWait = 1500 * time.Millisecond
	// outageCheckInterval is the interval of the checks of waiting calls for an outage of the store.
	outageCheckInterval = 200 * time.Millisecond
)

// slotServer handles the RPCs of peers, and this host's own calls to its slots.
type slotServer struct{ cluster *Cluster }

var _ fleetpb.Slots = (*slotServer)(nil)

// BeginTurn reserves a turn's tokens and returns the turn's prior transcript.
func (srv *slotServer) BeginTurn(ctx context.Context, req *fleetpb.BeginTurnRequest) (*fleetpb.BeginTurnReply, error) {
	s := srv.cluster.slots[srv.cluster.hashSlot(req.Program)]
	reply := &fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureServing(ctx, srv.cluster.Now()) {
		reply.Outcome = fleetpb.Outcome_OUTCOME_NOT_OWNER

		return reply, nil
	}
	program := id.Program(req.Program)
	if !s.knowsProgram(program) && srv.cluster.programs.isFull() {
		return nil, errTooManyPrograms
	}
	if req.Previous != "" && !req.HaveChain {
		var err error
		if reply.Chain, reply.Outcome, err = s.requestTranscript(ctx, req); err != nil || reply.Outcome != fleetpb.Outcome_OUTCOME_OK {
			return reply, err
		}
	}
	isNew := !s.knowsProgram(program)
	reply.Begun = s.locations.HasProgram(program) || s.ledger.HasUsage(program)
	if req.Budget > 0 {
		if !s.knowsAllPrograms && s.ledger.Count(program).Tokens == 0 {
			s.recallMissingState(context.WithoutCancel(ctx), srv.cluster.Now())
			reply.Outcome = fleetpb.Outcome_OUTCOME_UNSURE

			return reply, nil
		}
		reply.Outcome, reply.Mark = s.reserveTokens(ctx, req)
		if reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			reply.Outcome = s.shareReservation(ctx, program, req)
		}
		reply.Durable = int64(s.ledger.Count(program).Durable)
	}
	if isNew && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
		srv.cluster.programs.count.Add(1)
	}
	location := s.locations.Lookup(program, req.Line)
	reply.Last, reply.Kept = string(location.Upstream), int64(location.CachedTokens)

	return reply, nil
}

// reserveTokens reserves a turn's tokens, waiting for a durable watermark if that is required, and returns the
// watermark's tokens. The caller holds the lock, which is released while it waits.
func (s *slot) reserveTokens(ctx context.Context, req *fleetpb.BeginTurnRequest) (fleetpb.Outcome, int64) {
	startedAt := s.cluster.Now()
	waitDeadline := startedAt.Add(min(maxWatermarkWait, time.Duration(req.WaitMillis)*time.Millisecond))
	turn := tokenbudget.Turn{
		Program: id.Program(req.Program), Attempt: req.Attempt,
		BudgetTokens: id.Tokens(req.Budget), MaxTokens: id.Tokens(req.MaxTokens),
		Deadline:  startedAt.Add(time.Duration(req.DeadlineMillis) * time.Millisecond),
		Retention: budgetRetention,
	}
	for {
		now := s.cluster.Now()
		decision, watermark := s.ledger.Reserve(now, turn, s.outageDuration(now) >= undurableTurnsAfter)
		switch decision {
		case tokenbudget.Exhausted:
			if watermark.Tokens > 0 {
				s.writeWatermark(now, watermark, true)
			}

			return fleetpb.Outcome_OUTCOME_SPENT, 0
		case tokenbudget.Admit:
			s.writeWatermark(now, watermark, false)

			return fleetpb.Outcome_OUTCOME_OK, int64(watermark.Tokens)
		case tokenbudget.AwaitDurable:
			if watermark.Tokens > 0 {
				s.writeWatermark(now, watermark, true)
			}
		case tokenbudget.AlreadySettled:
			return fleetpb.Outcome_OUTCOME_UNSURE, 0
		}
		if !now.Before(waitDeadline) || ctx.Err() != nil {
			return fleetpb.Outcome_OUTCOME_UNSURE, 0
		}
		s.awaitChange(ctx, outageCheckInterval)
		if s.state != serving {
			return fleetpb.Outcome_OUTCOME_NOT_OWNER, 0
		}
	}
}

// budgetRetention is how long after a program's last turn its token count is kept: a stopped program may return within
// its route's retention of one minute.
const budgetRetention = 75 * time.Second

// awaitChange releases the lock until the slot changes, limit has passed or ctx ends; the caller holds the lock.
func (s *slot) awaitChange(ctx context.Context, limit time.Duration) {
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

// writeWatermark queues a write of a watermark; the caller holds the lock.
func (s *slot) writeWatermark(now time.Time, watermark tokenbudget.Watermark, urgent bool) {
	value, err := proto.Marshal(&fleetpb.Record{LossUnixMillis: s.lossUnixMillis(now), Kind: &fleetpb.Record_Budget{Budget: &fleetpb.BudgetMark{
		Mark: int64(watermark.Tokens), RetentionMillis: watermark.ExpiresAt.Sub(now).Milliseconds(), WrittenUnixMillis: now.UnixMilli(),
		LossUncharged: watermark.LossUncharged,
	}}})
	if err != nil {
		s.cluster.Logger.Error(err, "mark-lost", "program", watermark.Program)

		return
	}
	s.datedAt, s.isUnwritten = now, false
	record := platform.Record{Key: budgetKeyPrefix + string(watermark.Program), Value: value}
	s.writer.enqueue(pendingRecord{record: record, onDurable: func() { s.ledger.MarkDurable(watermark) }}, urgent)
}

// EndTurn settles a turn's reservation and stores the turn if it is to be retained.
func (srv *slotServer) EndTurn(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	s := srv.cluster.slots[srv.cluster.hashSlot(req.Program)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureServing(ctx, srv.cluster.Now()) {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	if req.Kept != nil && !s.hasPriorTranscript(req.Kept) {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}, nil
	}
	if req.Attempt != "" {
		s.ledger.Settle(id.Program(req.Program), req.Attempt, id.Tokens(req.Tokens))
	}
	if req.Upstream != "" {
		location := affinity.Location{Upstream: id.Upstream(req.Upstream), CachedTokens: id.Tokens(req.Cached)}
		s.locations.Record(srv.cluster.Now(), id.Program(req.Program), req.Line, location)
	}
	if req.Kept == nil {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Durable: true}, nil
	}

	return s.storeTurnDurably(ctx, req.Kept), nil
}

// turnWithoutTranscript returns a copy of a turn without its prior transcript, for a slot that has the previous turn. The
// original is not changed, since the copies at other hosts need the transcript.
func turnWithoutTranscript(kept *fleetpb.KeptTurn) *fleetpb.KeptTurn {
	return &fleetpb.KeptTurn{
		Id: kept.Id, Program: kept.Program, Workspace: kept.Workspace, Previous: kept.Previous, Input: kept.Input,
		Output: kept.Output, RetentionMillis: kept.RetentionMillis, EndedUnixMillis: kept.EndedUnixMillis,
	}
}

// hasPriorTranscript reports whether a turn can be stored: it has no previous turn, contains its prior transcript, or
// continues a turn whose transcript this slot has. The caller holds the lock.
func (s *slot) hasPriorTranscript(kept *fleetpb.KeptTurn) bool {
	return kept.Previous == "" || len(kept.Base) > 0 || s.turns.HasTranscript(id.Workspace(kept.Workspace), kept.Previous)
}

// storeTurn stores a turn in memory and queues its write, unless a copy of it is stored or queued already; done is closed when
// it is durable. The caller holds the lock.
func (s *slot) storeTurn(now time.Time, kept *fleetpb.KeptTurn) (done <-chan struct{}) {
	if pending, ok := s.pendingTurns[kept.Id]; ok {
		return pending
	}
	durable := make(chan struct{})
	if s.turns.HasTranscript(id.Workspace(kept.Workspace), kept.Id) {
		close(durable)

		return durable
	}
	if kept.Previous != "" && s.turns.HasTranscript(id.Workspace(kept.Workspace), kept.Previous) {
		kept = turnWithoutTranscript(kept)
	}
	value, err := proto.Marshal(&fleetpb.Record{LossUnixMillis: s.lossUnixMillis(now), Kind: &fleetpb.Record_Turn{Turn: kept}})
	var records []platform.Record
	if err == nil {
		records, err = s.cluster.turnRecords(kept.Id, value)
	}
	if err != nil {
		s.cluster.Logger.Error(err, "turn-lost", "turn", kept.Id)

		return durable
	}
	s.isUnwritten = false
	s.turns.Add(toStoredTurn(kept, now.Add(time.Duration(kept.RetentionMillis)*time.Millisecond+retentionMargin)))
	s.countTurns()
	last := len(records) - 1
	if last > 0 {
		s.setTurnParts(kept.Id, storedParts{count: len(records)})
	}
	for _, record := range records[:last] {
		s.writer.enqueue(pendingRecord{record: record}, true)
	}
	s.writer.enqueue(pendingRecord{record: records[last], turn: kept, onDurable: func() {
		close(durable)
		delete(s.pendingTurns, kept.Id)
		s.countUndurable(-textBytes(kept))
		s.turns.MarkDurable(kept.Id)
		if s.cluster.turnMemory.excess() > 0 {
			s.cluster.turnMemory.requestEviction()
		}
	}}, true)
	if s.pendingTurns == nil {
		s.pendingTurns = make(map[string]<-chan struct{})
	}
	s.pendingTurns[kept.Id] = durable
	s.countUndurable(textBytes(kept))

	return durable
}

// storeTurnDurably stores a turn and waits until it is durable or cannot become so because the store is down. The
// caller holds the lock, which is released while it waits.
func (s *slot) storeTurnDurably(ctx context.Context, kept *fleetpb.KeptTurn) *fleetpb.EndTurnReply {
	for {
		switch hasRoom := s.awaitRoom(ctx, kept); {
		case s.state != serving:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}
		case !hasRoom:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}
		case !s.hasPriorTranscript(kept):
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
		servingSince := s.servingSince
		reply := s.awaitDurable(ctx, s.storeTurn(s.cluster.Now(), kept))
		switch {
		case s.state != serving || s.servingSince.Equal(servingSince) || reply.Durable || ctx.Err() != nil:
			return reply
		case !s.hasPriorTranscript(kept):
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}
		}
	}
}

// awaitRoom waits until this host has memory for a turn that is not durable yet, for up to maxDurableWait, and reports whether it has. The
// caller holds the lock, which is released while it waits.
func (s *slot) awaitRoom(ctx context.Context, kept *fleetpb.KeptTurn) bool {
	for until := s.cluster.Now().Add(maxDurableWait); ; {
		_, isPending := s.pendingTurns[kept.Id]
		if isPending || s.state != serving || s.cluster.turnMemory.hasRoom(textBytes(kept)) {
			return true
		}
		remaining := until.Sub(s.cluster.Now())
		if remaining <= 0 || ctx.Err() != nil {
			s.cluster.Logger.Info("turn-refused", "slot", s.index, "turn", kept.Id, "bytes", textBytes(kept), "undurable", s.cluster.turnMemory.undurable.Load())

			return false
		}
		s.awaitChange(ctx, min(remaining, outageCheckInterval))
	}
}

// awaitDurable waits until a stored turn is durable or cannot become so because the store is down, or until the slot has been loaded,
// which discards what was not durable. The caller holds the lock, which is released while it waits.
func (s *slot) awaitDurable(ctx context.Context, durable <-chan struct{}) *fleetpb.EndTurnReply {
	now, servingSince := s.cluster.Now(), s.servingSince
	for waitDeadline := now.Add(maxDurableWait); ; s.awaitChange(ctx, outageCheckInterval) {
		select {
		case <-durable:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Durable: true}
		default:
		}
		switch now = s.cluster.Now(); {
		case s.state != serving:
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}
		case s.isDurabilityUnavailable(now):
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK}
		case !now.Before(waitDeadline) || ctx.Err() != nil || !s.servingSince.Equal(servingSince):
			return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}
		}
	}
}

// isAuthoritative reports whether a turn that is not in this slot does not exist; the caller holds the lock.
func (s *slot) isAuthoritative(now time.Time) bool {
	return s.state == serving && !s.isReleasing && !s.isPartial && s.unconfirmedSince.IsZero() && !now.Before(s.turnsInDoubtUntil) && (s.isNew || now.Sub(s.servingSince) >= authoritativeAfter)
}

// Admit grants a lease of a workspace's rate, or admits the start of a program.
func (srv *slotServer) Admit(ctx context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	c := srv.cluster
	s := c.slots[c.hashSlot(req.Workspace)]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if !s.ensureServing(ctx, now) && (s.state == unowned || !c.mayServeSlots(now)) {
		return &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	limit := quota.Limit{Rate: req.Rate, Burst: req.Burst}.Scale(c.peers.liveHostShare(now))
	if req.Starting {
		ok, retry := s.quotaAllocator(id.Workspace(req.Workspace)).AdmitProgram(now, limit)
		reply := &fleetpb.AdmitReply{Outcome: fleetpb.Outcome_OUTCOME_OK, RetryMillis: retry.Milliseconds()}
		if ok {
			reply.Allowed = 1
		}

		return reply, nil
	}
	granted, retry := s.quotaAllocator(id.Workspace(req.Workspace)).Allocate(now, limit, id.Host(req.Host), quota.Renewal{
		Lease: quota.LeaseNumber(req.Lease), Settles: quota.LeaseNumber(req.Settles), Used: req.Used, Want: req.Want,
	})

	return &fleetpb.AdmitReply{
		Outcome: fleetpb.Outcome_OUTCOME_OK, Allowed: granted, RetryMillis: retry.Milliseconds(),
	}, nil
}
