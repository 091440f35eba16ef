package cluster

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

// loadRecords fences the previous owner, reads its records and starts serving. If the partition does not respond for
// storeContactTimeout, the slot is served from the hosts' in-memory state meanwhile.
func (s *slot) loadRecords(ctx context.Context, epoch int64) {
	startedAt, servesInMemoryState := s.cluster.Now(), false
	for attempt := 1; ctx.Err() == nil && s.ownsInEpoch(epoch); attempt++ {
		contents, err := s.readRecords(ctx, epoch, attempt)
		if err == nil {
			contents.startedAt = startedAt
			s.startServing(ctx, epoch, contents)

			return
		}
		s.cluster.Logger.Error(err, "slot-load-failed", "slot", s.index, "epoch", epoch)
		if errorx.IsOfType(err, platform.ErrFenced) {
			s.releaseFenced(epoch)

			return
		}
		if !servesInMemoryState && !contents.isFenced && s.cluster.Now().Sub(startedAt) > storeContactTimeout {
			servesInMemoryState = true
			go s.serveFromInMemoryState(ctx)
		}
		topicconsumer.SleepContext(ctx, minOwnersReadInterval)
	}
}

// slotContents is the stored records of a slot and the state that hosts have of it in memory.
type slotContents struct {
	storedRecords

	memory    inMemoryState
	heldTurns []*fleetpb.KeptTurn
	startedAt time.Time
	// isFenced is set once the partition has accepted the new epoch, which shows that it is up.
	isFenced bool
	// endOffset is the end of the partition.
	endOffset int64
	// isUnwritten is set if no owner has stored anything but checkpoints in the slot before.
	isUnwritten bool
}

const (
	// minPageTimeout is how long the first attempt waits for a page of records at least: after a loss of all hosts the store answers
	// late, because all of them read at once.
	minPageTimeout = 800 * time.Millisecond
	// maxInMemoryStateAge is how old the hosts' in-memory state may be when a slot begins to be served: its previous owner may have
	// admitted turns meanwhile.
	maxInMemoryStateAge = 400 * time.Millisecond
)

// readRecords fences the previous owner, then reads its records and collects the hosts' in-memory state in parallel. Each
// attempt allows more time for a page, so that a busy host succeeds eventually.
func (s *slot) readRecords(ctx context.Context, epoch int64, attempt int) (slotContents, error) {
	claim := platform.AppendBatch{Partition: s.partition(), Producer: ownerProducer, Epoch: epoch}
	err := s.cluster.callStore(ctx, func(ctx context.Context) error {
		_, err := s.cluster.store.Append(ctx, claim)

		return err
	})
	s.setClaimed(epoch, err == nil)
	if err != nil {
		return slotContents{}, err
	}
	fencedAt := s.cluster.Now()
	state := make(chan inMemoryState, 1)
	go func() { state <- s.cluster.collectInMemoryState(ctx, s.index) }()
	records, end, err := s.cluster.readStoredRecords(ctx, s.partition(), s.cluster.pageTimeout(attempt))
	if err != nil {
		return slotContents{isFenced: true}, err
	}
	memory := <-state
	turns := s.cluster.fetchHeldTurns(ctx, s.index, memory, records.turnIDs())
	if s.cluster.Now().Sub(fencedAt) > maxInMemoryStateAge {
		memory = s.cluster.collectInMemoryState(ctx, s.index)
	}

	return slotContents{
		storedRecords: records, memory: memory, heldTurns: turns, isFenced: true, endOffset: end, isUnwritten: end == 0 || records.areUnwritten(),
	}, nil
}

// pageTimeout returns for how long an attempt to read a slot waits for a page of records.
func (c *Cluster) pageTimeout(attempt int) time.Duration {
	return time.Duration(attempt) * max(minPageTimeout, c.storeCallTimeout(maxPageBytes))
}

// setClaimed records whether the partition accepted the epoch of a load.
func (s *slot) setClaimed(epoch int64, isClaimed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == epoch && s.state != unowned && !s.isActingOwner {
		s.isClaimed = isClaimed
	}
}

// startServing restores the contents and serves the slot.
func (s *slot) startServing(ctx context.Context, epoch int64, contents slotContents) {
	defer contents.release(s.cluster.turnMemory)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || s.isActingOwner || (s.state != loading && !s.isPartial) {
		return
	}
	s.discardState()
	now := s.cluster.Now()
	s.writer.startEpoch(epoch, contents.endOffset)
	s.restore(now, &contents.storedRecords)
	s.chargeForgottenTurns(now, contents.memory.memoryAges())
	s.mergeInMemoryState(now, contents.memory.replies, contents.heldTurns)
	s.knowsAllPrograms = true
	s.isUnwritten, s.isNew = contents.isUnwritten, contents.isUnwritten && s.cluster.Settings.FirstStart
	s.state, s.servingSince = serving, now
	s.notifyChanged()
	if !s.unconfirmedSince.IsZero() {
		go s.confirm(ctx, epoch)
	}
	s.cluster.Logger.Info("slot-taken", "slot", s.index, "epoch", epoch, "records", len(contents.records)+len(contents.turns),
		"programs", s.ledger.Len(), "turns", s.turns.Len(), "first", s.isNew, "took", now.Sub(contents.startedAt))
}

// undurableTurnsAfter is how long records cannot become durable before more than one turn of a program is admitted by the count in
// memory.
const undurableTurnsAfter = 1500 * time.Millisecond

// chargeForgottenTurns charges programs for turns that may have been admitted during an outage, if as many hosts as hold a count have
// been lost since the newest record was written, and that is long enough ago for such an outage. Turns that nobody knows may
// have been answered then. An owner that read the slot after such a loss has stored the loss with its records, which hide the outage
// from the owners after it. It is called before any record is queued.
func (s *slot) chargeForgottenTurns(now time.Time, memoryAges []time.Duration) {
	if loss := s.ledger.AssumedLoss(); !loss.IsZero() {
		s.turnsInDoubtUntil = loss.Add(budgetRetention)
	}
	if since := rememberedSince(now, memoryAges); !since.IsZero() && since.Sub(s.newestRecordAt) >= undurableTurnsAfter+minRestartDelay {
		s.ledger.AssumeLoss(since.Add(clockSkewMargin))
		s.turnsInDoubtUntil = now.Add(budgetRetention)
		s.cluster.Logger.Info("counts-in-doubt", "slot", s.index, "remembered", now.Sub(since), "newest", now.Sub(s.newestRecordAt))
	}
}

// lossUnixMillis returns the time of the loss that is stored with each record, or zero if the slot's programs are charged for none.
// The caller holds the lock.
func (s *slot) lossUnixMillis(now time.Time) int64 {
	loss := s.ledger.AssumedLoss()
	if loss.IsZero() || now.Sub(loss) > budgetRetention {
		return 0
	}

	return loss.UnixMilli()
}

func (s *slot) restoreRecord(now time.Time, record platform.Record) {
	var value fleetpb.Record
	if err := proto.Unmarshal(record.Value, &value); err != nil {
		s.cluster.Logger.Error(err, "record-refused", "slot", s.index, "key", record.Key, "offset", record.Offset)

		return
	}
	loss := restoredLoss(now, value.LossUnixMillis)
	s.ledger.AssumeLoss(loss)
	budget := value.GetBudget()
	if budget == nil {
		return
	}
	written := time.UnixMilli(budget.WrittenUnixMillis)
	s.recordWrittenAt(written)
	if record.Key == checkpointKey {
		return
	}
	s.ledger.Restore(tokenbudget.Watermark{
		Program: id.Program(record.Key[1:]), Tokens: id.Tokens(budget.Mark),
		ExpiresAt: restoredExpiry(now, written, time.Duration(budget.RetentionMillis)*time.Millisecond), WrittenAt: written, ChargedLoss: loss,
		LossUncharged: budget.LossUncharged,
	})
}

func (s *slot) recordWrittenAt(written time.Time) {
	if written.After(s.newestRecordAt) {
		s.newestRecordAt = written
	}
}

// restoredLoss returns the time of the loss that a record states, or zero if it states none. The writer's clock may be fast, so a
// time in the future is bounded: it would make programs be charged for longer than their retention.
func restoredLoss(now time.Time, unixMillis int64) time.Time {
	if unixMillis <= 0 {
		return time.Time{}
	}
	loss, latest := time.UnixMilli(unixMillis), now.Add(clockSkewMargin)
	if loss.After(latest) {
		return latest
	}

	return loss
}

// restoredExpiry returns the expiry of a record by the time of its write. That is by the writer's clock, which may differ
// from this host's, so a time in the future counts as now.
func restoredExpiry(now, written time.Time, retention time.Duration) time.Time {
	if written.After(now) {
		written = now
	}

	return written.Add(retention + retentionMargin)
}
