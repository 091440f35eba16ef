package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/tokenbudget"
	"cardamomward/core/turnstore"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

// slotState is the state of a slot at this host.
type slotState int

const (
	// unowned slots belong to another host or to none.
	unowned slotState = iota
	// loading slots are owned by this host, or it is their acting owner, but their state is not loaded yet.
	loading
	// serving slots are served by this host, from all stored records or, if isPartial is set, from the hosts' in-memory
	// state.
	serving
)

const (
	// maxPageBytes bounds the record data in a page of the platform's store, whose encoding is a third longer.
	maxPageBytes = 4 << 20 / 3
	// locationRetention is the retention of a program's locations, counted from its last turn.
	locationRetention = 15 * time.Second
	// retentionMargin is the retention of records beyond the requested one.
	retentionMargin = 10 * time.Second
)

// slot is the state of one of the slots that programs and workspaces are hashed to.
type slot struct {
	cluster *Cluster
	index   int
	writer  *recordWriter

	mu    sync.Mutex
	state slotState
	epoch int64
	// isActingOwner is set while this host acts for a stopped owner because the store is down.
	isActingOwner bool
	// isPartial is set while the slot is served from the hosts' in-memory state because its records cannot be read.
	isPartial bool
	// isClaimed is set while the partition has accepted the epoch of the load in progress, so that records can become durable soon.
	isClaimed bool
	// isReleasing is set while the slot is served no more, but its records are still written.
	isReleasing bool
	// knowsAllPrograms is set while a program without an account is a new one.
	knowsAllPrograms bool
	// lacksReplies is set while the slot is served from the in-memory state of a part of the hosts because others have not responded,
	// and recalledAt is when they were last asked.
	lacksReplies bool
	recalledAt   time.Time
	// unconfirmedSince is since when another host may have owned the slot after its records were read; zero if none has.
	unconfirmedSince time.Time
	// confirmationRequests counts the times when a confirmation became necessary.
	confirmationRequests int
	// servingSince is the start time of serving.
	servingSince time.Time
	// newestRecordAt is the write time of the newest record that was read, by the clock of the host that wrote it.
	newestRecordAt time.Time
	// datedAt is the date of the newest watermark or checkpoint that this owner has queued.
	datedAt time.Time
	// turnsInDoubtUntil is the end of the period in which answered turns may be unknown to all hosts and to the store; zero if there is none.
	turnsInDoubtUntil time.Time
	// isNew is set if no owner had stored anything in the slot when this one began to serve it, since its first start. isUnwritten is set
	// while no owner has stored anything but checkpoints.
	isNew       bool
	isUnwritten bool
	ledger      tokenbudget.Ledger
	turns       turnstore.Store
	// pendingTurns holds, for each turn whose write is queued, the channel that is closed when it is durable.
	pendingTurns map[string]<-chan struct{}
	// turnParts are the records of each turn that is stored in several.
	turnParts map[string]storedParts
	// reloading maps the turns for whose continuation evicted text is to be read to the times when their transcripts were last asked for.
	reloading map[string]time.Time
	// countedTurnBytes is the text that the host's memory for turns counts.
	countedTurnBytes int
	// undurableBytes is the text of the turns in pendingTurns.
	undurableBytes  int
	locations       affinity.Locations
	quotaAllocators map[id.Workspace]*quota.Allocator
	limitBuckets    map[id.Upstream]*limitBucket
	// changed is closed and replaced when records became durable or the state changed.
	changed chan struct{}
}

func newSlot(c *Cluster, index int) *slot {
	s := &slot{cluster: c, index: index, changed: make(chan struct{})}
	s.writer = newRecordWriter(s)

	return s
}

// notifyChanged wakes the waiters for a change; the caller holds the lock.
func (s *slot) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// acquire starts loading a slot that the store has assigned to this host. The generation becomes the epoch of the slot's
// writes, so a slot that was released is acquired again only in a later generation: within an epoch the store takes a
// batch whose sequence number it knows for a repeat, and does not store it.
func (s *slot) acquire(ctx context.Context, generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isActingOwner {
		s.releaseLocked("owned")
	}
	if s.state != unowned {
		return
	}
	if generation <= s.epoch {
		s.cluster.Logger.Info("slot-refused", "slot", s.index, "epoch", s.epoch, "generation", generation)
		s.cluster.mustRejoin.Store(true)

		return
	}
	s.state, s.epoch = loading, generation
	go s.loadRecords(ctx, generation)
}

// actForOwner starts acting for the slot's stopped owner while the store is down; the caller holds the lock.
func (s *slot) actForOwner(ctx context.Context) {
	s.state, s.isActingOwner = loading, true
	go s.serveFromInMemoryState(ctx)
}

// serveFromInMemoryState serves the slot from the hosts' in-memory state.
func (s *slot) serveFromInMemoryState(ctx context.Context) {
	s.mu.Lock()
	epoch, isActingOwner := s.epoch, s.isActingOwner
	s.mu.Unlock()
	state := s.cluster.collectInMemoryState(ctx, s.index)
	turns := s.cluster.fetchHeldTurns(ctx, s.index, state, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != loading || s.epoch != epoch || s.isActingOwner != isActingOwner {
		return
	}
	now := s.cluster.Now()
	s.isPartial, s.recalledAt = true, now
	s.state, s.servingSince, s.isNew = serving, now, false
	s.mergeRecall(now, state, turns)
}

// recallRetryInterval is the interval at which the hosts are asked again for their in-memory state.
const recallRetryInterval = 300 * time.Millisecond

// recallMissingState asks the hosts again for their in-memory state if too few responded: one busy moment of them must not make the
// slot refuse first turns until the end of the outage. The caller holds the lock.
func (s *slot) recallMissingState(ctx context.Context, now time.Time) {
	if !s.isPartial || !s.lacksReplies || now.Sub(s.recalledAt) < recallRetryInterval {
		return
	}
	s.recalledAt = now
	epoch, isActingOwner, servingSince := s.epoch, s.isActingOwner, s.servingSince
	go func() {
		state := s.cluster.collectInMemoryState(ctx, s.index)
		s.mu.Lock()
		defer s.mu.Unlock()
		isCurrent := s.epoch == epoch && s.isActingOwner == isActingOwner && s.servingSince.Equal(servingSince)
		// The counts of a part of the hosts have been merged before; merging them again would charge unused reservations.
		if s.state == serving && s.isPartial && s.lacksReplies && isCurrent && rememberedSince(s.cluster.Now(), state.memoryAges()).IsZero() {
			// Holders send their turns once they find them missing.
			s.mergeRecall(s.cluster.Now(), state, nil)
		}
	}()
}

// mergeRecall merges the hosts' in-memory state and held turns into a slot that is served from them; the caller holds the lock.
func (s *slot) mergeRecall(now time.Time, state inMemoryState, turns []*fleetpb.KeptTurn) {
	s.knowsAllPrograms = rememberedSince(now, state.memoryAges()).IsZero()
	s.lacksReplies = !s.knowsAllPrograms && slices.Contains(state.replies, nil)
	s.mergeInMemoryState(now, state.replies, turns)
	s.notifyChanged()
	s.cluster.Logger.Info("slot-recalled", "slot", s.index, "owner", s.cluster.ownership.Load().owners[s.index],
		"deputy", s.isActingOwner, "programs", s.ledger.Len(), "turns", s.turns.Len(), "complete", s.knowsAllPrograms)
}

// isDurabilityUnavailable reports whether the slot's records cannot become durable now, while this host hears a
// majority of the owners; the caller holds the lock.
func (s *slot) isDurabilityUnavailable(now time.Time) bool { return s.outageDuration(now) > 0 }

// outageDuration returns for how long the slot's records could not become durable, or zero if they can now or this host does not
// hear a majority of the owners. The caller holds the lock.
func (s *slot) outageDuration(now time.Time) time.Duration {
	var since time.Time
	switch {
	case s.isPartial && !s.isClaimed:
		since = s.servingSince.Add(-storeContactTimeout)
	case s.writer.isStuck(now):
		since = s.writer.lastFailureStart()
	case s.cluster.isStoreSilent(now):
		since = s.cluster.lastStoreResponse()
	default:
		return 0
	}
	if !s.cluster.hearsMajority(now) {
		return 0
	}

	return max(1, now.Sub(since))
}

// ensureServing reports whether this host may serve the slot now. It starts acting for a stopped owner, and stops once
// the store responds. The caller holds the lock.
func (s *slot) ensureServing(ctx context.Context, now time.Time) bool {
	c := s.cluster
	switch {
	case s.isActingOwner && !c.isStoreDown(now):
		s.releaseLocked("store-returned")
	case s.state == unowned && c.isStoreDown(now) && c.slotOwner(s.index) == c.self:
		s.actForOwner(context.WithoutCancel(ctx))
	}

	return s.state == serving && !s.isReleasing && !s.awaitsConfirmation(now) && c.mayServeSlots(now)
}

// stopServing stops serving the slot, and reports whether it has records that can be written before it is released.
func (s *slot) stopServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReleasing = s.state == serving && !s.isActingOwner && !s.isPartial && s.writer.hasPending()
	if s.isReleasing {
		s.writer.wakeUp()
	}

	return s.isReleasing
}

// actingCheckInterval is the interval of the checks whether the store responds to a host that acts for an owner.
const actingCheckInterval = 100 * time.Millisecond

// releaseActingSlotsLoop gives up the slots of which this host is the acting owner once the store responds, until ctx ends.
func (c *Cluster) releaseActingSlotsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if now := c.Now(); !c.isStoreSilent(now) {
			for _, s := range c.slots {
				s.releaseActing()
			}
		}
		topicconsumer.SleepContext(ctx, actingCheckInterval)
	}
}

// releaseActing gives up the slot if this host is its acting owner. The turns that it has are then sent to the owner: nobody may call
// this host for the slot again, and it may be the only one that has them.
func (s *slot) releaseActing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isActingOwner {
		s.releaseLocked("store-returned")
	}
}

// release gives up the slot and reports whether it was owned.
func (s *slot) release(reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.releaseLocked(reason)
}

// releaseEpoch gives up the slot if it is still owned in the given epoch, and reports whether it was.
func (s *slot) releaseEpoch(epoch int64, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.epoch == epoch && s.releaseLocked(reason)
}

// releaseFenced gives up the slot if it is still owned in the given epoch, because the store has seen a later one, and
// requests a new membership.
func (s *slot) releaseFenced(epoch int64) {
	if s.releaseEpoch(epoch, "fenced") {
		s.cluster.mustRejoin.Store(true)
	}
}

// releaseLocked is release for a caller that holds the lock.
func (s *slot) releaseLocked(reason string) bool {
	if s.state == unowned {
		return false
	}
	s.cluster.Logger.Info("slot-released", "slot", s.index, "epoch", s.epoch, "reason", reason)
	s.state, s.isActingOwner, s.isReleasing, s.unconfirmedSince = unowned, false, false, time.Time{}
	s.discardState()
	s.quotaAllocators, s.limitBuckets = nil, nil
	s.notifyChanged()

	return true
}

// discardState discards the state of programs and sends unwritten turns to the next owner; the caller holds the lock.
func (s *slot) discardState() {
	s.isPartial, s.isClaimed, s.knowsAllPrograms, s.lacksReplies = false, false, false, false
	s.holdUnwrittenTurns(s.writer.discardPending())
	s.ledger, s.turns, s.locations = tokenbudget.Ledger{}, turnstore.Store{}, affinity.Locations{}
	s.pendingTurns, s.turnParts = nil, nil
	s.countTurns()
	s.countUndurable(-s.undurableBytes)
	s.newestRecordAt, s.datedAt, s.turnsInDoubtUntil = time.Time{}, time.Time{}, time.Time{}
}

// holdUnwrittenTurns keeps turns that did not become durable in memory and sends them to the next owner. The caller holds
// the lock.
func (s *slot) holdUnwrittenTurns(dropped []pendingRecord) {
	for _, kept := range s.turnsWithTranscripts(dropped) {
		s.cluster.holdUntilDurable(context.Background(), &fleetpb.EndTurnRequest{
			Workspace: kept.Workspace, Program: kept.Program, Kept: kept,
		}, maxStatusInterval)
	}
}

// turnsWithTranscripts returns the turns of pending records, each with its prior transcript, since another host may not
// have the previous turns. The caller holds the lock.
func (s *slot) turnsWithTranscripts(records []pendingRecord) []*fleetpb.KeptTurn {
	var turns []*fleetpb.KeptTurn
	for _, pending := range records {
		if pending.turn == nil {
			continue
		}
		kept := turnWithoutTranscript(pending.turn)
		kept.Base = pending.turn.Base
		if transcript, ok := s.turns.Transcript(id.Workspace(kept.Workspace), kept.Previous); ok {
			kept.Base = transcript
		}
		turns = append(turns, kept)
	}

	return turns
}

// stuckTurns returns the turns that wait to become durable, if the slot's records cannot become so now.
func (s *slot) stuckTurns(now time.Time) []*fleetpb.KeptTurn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != serving || !s.isPartial && !s.writer.isStuck(now) && !s.cluster.isStoreSilent(now) {
		return nil
	}

	return s.turnsWithTranscripts(s.writer.pendingRecords())
}

func (s *slot) ownsInEpoch(epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state != unowned && !s.isActingOwner && s.epoch == epoch
}

func (s *slot) partition() platform.Partition {
	return platform.Partition{Topic: s.cluster.slotTopic, Number: s.index}
}

// Prefixes of the keys of a slot's records.
const (
	// budgetKeyPrefix starts the keys of token budgets, followed by the program.
	budgetKeyPrefix = "b"
	// turnKeyPrefix starts the keys of turns, followed by the turn's id.
	turnKeyPrefix = "t"
)

// removeExpired removes expired state from memory and from the store.
func (s *slot) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != serving {
		return
	}
	s.locations.RemoveOlderThan(now, locationRetention)
	if len(s.limitBuckets) > maxLimitBuckets {
		s.limitBuckets = nil
	}
	for _, program := range s.ledger.RemoveExpired(now) {
		s.writer.enqueue(pendingRecord{record: platform.Record{Key: budgetKeyPrefix + string(program)}}, false)
	}
	for _, turn := range s.turns.RemoveExpired(now) {
		s.removeTurnRecords(turn)
	}
	s.countTurns()
}

// flush waits until all records are durable or ctx ends.
func (s *slot) flush(ctx context.Context) {
	for ctx.Err() == nil && s.writer.hasPending() {
		topicconsumer.SleepContext(ctx, writeRetryInterval)
	}
}
