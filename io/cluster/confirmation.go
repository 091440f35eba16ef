package cluster

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

// minConfirmPause is the first pause between comparisons of a slot with the store; further pauses double.
const minConfirmPause = 20 * time.Millisecond

// requireConfirmation stops serving the slot until the store has shown that no other host has written to it.
func (s *slot) requireConfirmation(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == unowned {
		return
	}
	s.confirmationRequests++
	if !s.unconfirmedSince.IsZero() {
		return
	}
	s.unconfirmedSince = s.cluster.Now()
	if s.state == serving && !s.isPartial {
		go s.confirm(ctx, s.epoch)
	}
}

// awaitsConfirmation reports whether the slot must not be served until it has been compared with the store. A partition that
// does not respond for storeContactTimeout takes no writes of other hosts either. The caller holds the lock.
func (s *slot) awaitsConfirmation(now time.Time) bool {
	return !s.isPartial && !s.unconfirmedSince.IsZero() && now.Sub(s.unconfirmedSince) <= storeContactTimeout
}

// confirm compares the slot with the store until the result is known, and then serves the slot again or releases it.
func (s *slot) confirm(ctx context.Context, epoch int64) {
	for pause := minConfirmPause; ctx.Err() == nil && s.ownsInEpoch(epoch); pause = min(2*pause, renewInterval) {
		s.mu.Lock()
		requests := s.confirmationRequests
		s.mu.Unlock()
		switch s.writer.compareWithStore(ctx) {
		case upToDate:
			if s.markConfirmed(epoch, requests) {
				return
			}
		case outdated:
			s.releaseOutdated(epoch)

			return
		case completenessUnknown:
			topicconsumer.SleepContext(ctx, pause)
		}
	}
}

// markConfirmed serves the slot again, and returns false if another confirmation was requested since.
func (s *slot) markConfirmed(epoch int64, requests int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == epoch && s.confirmationRequests != requests {
		return false
	}
	if s.epoch == epoch {
		s.unconfirmedSince = time.Time{}
		s.notifyChanged()
	}

	return true
}

// releaseOutdated gives up a slot of which another host has records, and renews the membership to acquire it again.
func (s *slot) releaseOutdated(epoch int64) {
	if s.releaseEpoch(epoch, "outdated") {
		s.cluster.triggerRenewal()
	}
}

// confirmSlots returns those of the slots of which this host has all records, and releases those of which it has not. A lease
// does not prove that: another host may have owned a slot in the meantime.
func (c *Cluster) confirmSlots(ctx context.Context, slots []int32) []int32 {
	results := make([]completeness, len(c.slots))
	var wg sync.WaitGroup
	for _, index := range slots {
		wg.Go(func() {
			s := c.slots[index]
			epoch, _, _ := s.writer.snapshot()
			if results[index] = s.writer.compareWithStore(ctx); results[index] == outdated {
				s.releaseOutdated(epoch)
			}
		})
	}
	wg.Wait()

	return slices.DeleteFunc(slots, func(index int32) bool { return results[index] != upToDate })
}

// completeness is the result of the check that an owner has all records of its partition.
type completeness int

const (
	// completenessUnknown means that the store did not say, or that a write of the owner changed the partition meanwhile.
	completenessUnknown completeness = iota
	// upToDate means that the partition ends where the owner's records end.
	upToDate
	// outdated means that the partition has records of another owner.
	outdated
)

const (
	// ownWriteWait is the time limit of a comparison for a pending write to show that no other host has written.
	ownWriteWait = 2 * writeLinger
	// maxComparisons bounds the reads of a comparison that this owner's writes disturb.
	maxComparisons = 3
)

// compareWithStore reports whether the partition ends where this owner's records end, including those of a write that is in
// progress. On a busy slot the next write shows it without a read.
func (w *recordWriter) compareWithStore(ctx context.Context) completeness {
	startedAt := w.slot.cluster.Now()
	result := completenessUnknown
	for range maxComparisons {
		if w.hasPending() && w.slot.awaitOwnWrite(ctx, startedAt) {
			return upToDate
		}
		var disturbed bool
		if result, disturbed = w.readEnd(ctx); !disturbed {
			return result
		}
		if w.isConfirmedSince(startedAt) {
			return upToDate
		}
	}

	return result
}

// awaitOwnWrite waits up to ownWriteWait for a write that began at a time or later, and reports whether it showed that the
// partition has no records of other owners.
func (s *slot) awaitOwnWrite(ctx context.Context, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for until := s.cluster.Now().Add(ownWriteWait); ; {
		if s.writer.isConfirmedSince(since) {
			return true
		}
		remaining := until.Sub(s.cluster.Now())
		if remaining <= 0 || ctx.Err() != nil || s.state == unowned {
			return false
		}
		s.awaitChange(ctx, remaining)
	}
}

// readEnd compares the end of the partition with that of this owner's records; disturbed is set if a write of this owner ended
// meanwhile, so that the result is not known.
func (w *recordWriter) readEnd(ctx context.Context) (result completeness, disturbed bool) {
	epoch, endOffset, inFlightBefore := w.snapshot()
	if epoch == 0 {
		return completenessUnknown, false
	}
	var page platform.RecordPage
	err := w.slot.cluster.callStore(ctx, func(ctx context.Context) (err error) {
		page, err = w.slot.cluster.store.Read(ctx, w.slot.partition(), endOffset, 0)

		return err
	})
	epochAfter, endAfter, inFlightAfter := w.snapshot()
	switch {
	case err != nil || epochAfter != epoch:
		return completenessUnknown, false
	case endAfter != endOffset:
		return completenessUnknown, true
	case page.NextOffset == endOffset, holdsBatch(page, endOffset, inFlightBefore), holdsBatch(page, endOffset, inFlightAfter):
		return upToDate, false
	default:
		return outdated, false
	}
}

// holdsBatch reports whether a page from an offset on consists of a batch.
func holdsBatch(page platform.RecordPage, offset int64, batch []pendingRecord) bool {
	return page.NextOffset == offset+int64(len(batch)) &&
		slices.EqualFunc(page.Records, batch, func(stored platform.Record, pending pendingRecord) bool {
			return stored.Key == pending.record.Key && bytes.Equal(stored.Value, pending.record.Value)
		})
}
