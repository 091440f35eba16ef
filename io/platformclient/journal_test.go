package platformclient_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/platformclient"
)

const testStream = platformclient.ProgramsStream

type programsJournal = platformclient.Journal[*projection.Programs]

// startJournal runs a journal until the test ends.
func startJournal(t *testing.T, log platformclient.Log, minAppendInterval time.Duration) *programsJournal {
	t.Helper()
	j := platformclient.NewJournal(&projection.Programs{}, platformclient.JournalOptions{
		Log: log, Stream: testStream, Linger: 5 * time.Millisecond, Logger: logr.Discard(),
		MinAppendInterval: func() time.Duration { return minAppendInterval },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		require.Zero(t, j.Status().PendingRecords, "no append may be pending at the end")
	})

	return j
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)

	return ctx
}

func newClaim(host id.Host, forced bool, epoch id.Epoch, slots ...id.Slot) *record.Record {
	body := &recordpb.Claim{Forced: forced, Run: "run"}
	for _, slot := range slots {
		body.Slots = append(body.Slots, uint32(slot))
		body.Epochs = append(body.Epochs, uint64(epoch))
	}
	rec := record.New(host)
	rec.Body = &recordpb.Record_Claim{Claim: body}

	return rec
}

func slotState(j *programsJournal, slot id.Slot) projection.SlotState {
	var state projection.SlotState
	j.View(func(p *projection.Programs) { state = p.Slot(slot) })

	return state
}

func TestAppendWithLostResponsesAddsOneRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := startJournal(t, log, 0)
		log.configure(func(l *fakeLog) { l.lostResponses = 3 })
		applyResult, err := j.Append(contextWithTimeout(t, 10*time.Second), newClaim("host-1", false, 0, 1))
		require.NoError(t, err)
		require.True(t, applyResult.Valid())
		synctest.Wait()
		require.Equal(t, 1, slotState(j, 1).ClaimCount)
		require.Equal(t, applyResult.Position, slotState(j, 1).Epoch)
	})
}

func TestUnsentRecordIsWithdrawnWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := startJournal(t, log, 0)
		log.configure(func(l *fakeLog) { l.unreachable = true })
		var group sync.WaitGroup
		group.Go(func() {
			_, err := j.Append(contextWithTimeout(t, 5*time.Second), newClaim("host-1", false, 0, 1))
			require.True(t, errorx.IsOfType(err, platformclient.ErrLogTimeout), "the effect of a record that was sent must be unknown")
			require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		})
		time.Sleep(time.Second)
		_, err := j.Append(contextWithTimeout(t, 2*time.Second), newClaim("host-1", false, 0, 2))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution, "a record that was queued behind it must not be sent")
		group.Wait()
		log.configure(func(l *fakeLog) { l.unreachable = false })
		time.Sleep(time.Minute)
		require.Equal(t, id.Offset(0), log.nextOffset(testStream), "withdrawn records must not be appended")
	})
}

func TestRejectedAppendIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := startJournal(t, log, 0)
		log.configure(func(l *fakeLog) { l.down = true })
		_, err := j.Append(contextWithTimeout(t, 5*time.Second), newClaim("host-1", false, 0, 1))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
		// A record whose response was lost stays in doubt, whatever the log responds to later attempts.
		time.Sleep(time.Minute)
		// Reads are down too: otherwise the jitter of the read loop decides whether the record is read back in time.
		log.configure(func(l *fakeLog) {
			l.down, l.readsDown, l.lostResponses, l.responseDelay = false, true, 1, 100*time.Millisecond
		})
		go func() {
			time.Sleep(110 * time.Millisecond)
			log.configure(func(l *fakeLog) { l.down = true })
		}()
		_, err = j.Append(contextWithTimeout(t, 2*time.Second), newClaim("host-1", false, 0, 2))
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
	})
}

func TestAppendSucceedsAfterMinutesOfLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := startJournal(t, log, 0)
		_, err := j.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, 1))
		require.NoError(t, err)
		log.configure(func(l *fakeLog) { l.down = true; l.appendAttempts = 0 })
		begin := time.Now()
		var group sync.WaitGroup
		var elapsed time.Duration
		group.Go(func() {
			applyResult, err := j.Append(contextWithTimeout(t, time.Hour), newClaim("host-1", false, 0, 2))
			require.NoError(t, err)
			require.True(t, applyResult.Valid())
			elapsed = time.Since(begin)
		})
		time.Sleep(5 * time.Minute)
		require.GreaterOrEqual(t, time.Since(j.Status().LogReadAt), 5*time.Minute, "LogReadAt must not advance during the outage")
		log.configure(func(l *fakeLog) {
			require.Less(t, l.appendAttempts, 400, "the append must back off between retries")
			l.down = false
		})
		group.Wait()
		require.Less(t, elapsed, 5*time.Minute+4*time.Second)
		time.Sleep(4 * time.Second)
		require.Less(t, time.Since(j.Status().LogReadAt), 4*time.Second)
	})
}

func TestLogReadAtIsTheTimeOfTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		link := &logLink{log: log}
		j := startJournal(t, link, 0)
		_, err := j.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, 1))
		require.NoError(t, err)
		time.Sleep(1500 * time.Millisecond)
		before := time.Now()
		link.delayResponses(time.Minute)
		synctest.Wait()
		// The process resumes with a response from before its pause.
		require.False(t, j.Status().LogReadAt.After(before), "LogReadAt must not be later than the request")
	})
}

func TestGroupCommitStaysWithinLogRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts             = 12
			writers           = 40
			records           = 25
			perSecond         = 100
			minAppendInterval = hosts * time.Second / 250
		)
		log := newFakeLog()
		log.maxAppendsPerSecond = perSecond
		begin := time.Now()
		var group sync.WaitGroup
		for host := range hosts {
			j := startJournal(t, log, minAppendInterval)
			for writer := range writers {
				group.Go(func() {
					for range records {
						rec := record.New(id.Host(fmt.Sprintf("host-%d", host)))
						rec.Body = &recordpb.Record_Release{Release: &recordpb.Release{Slots: []uint32{uint32(writer)}, Epochs: []uint64{0}}}
						_, err := j.Append(contextWithTimeout(t, 5*time.Minute), rec)
						require.NoError(t, err)
					}
				})
			}
		}
		group.Wait()
		elapsed := time.Since(begin)
		t.Logf("%d records in %d appends, %d attempts, %s", hosts*writers*records, log.appends, log.appendAttempts, elapsed)
		require.LessOrEqual(t, float64(log.appends), perSecond*(elapsed.Seconds()+1))
		require.Less(t, log.appendAttempts, 3*log.appends, "rejected attempts must be few")
		require.Less(t, log.appends, hosts*writers*records/10, "records must be batched")
	})
}

func TestInvalidRecordsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := startJournal(t, newFakeLog(), 0)
		invalidRecord := newClaim("host-1", false, 0, 1)
		invalidRecord.Host = "\xff"
		_, err := j.Append(t.Context(), invalidRecord)
		require.Equal(t, apierror.InvalidRequest, apierror.From(err).Kind)
		invalidRecord.Host = strings.Repeat("x", 5<<20)
		_, err = j.Append(t.Context(), invalidRecord)
		require.Equal(t, apierror.TooLarge, apierror.From(err).Kind)
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				rec := newClaim("host-1", false, 0, id.Slot(i))
				rec.GetClaim().Run = strings.Repeat("x", 1<<20)
				applyResult, err := j.Append(contextWithTimeout(t, time.Minute), rec)
				require.NoError(t, err)
				require.True(t, applyResult.Valid())
			})
		}
		group.Wait()
	})
}

func TestJournalHaltsWhenLogLosesItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := startJournal(t, log, 0)
		_, err := j.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, 1))
		require.NoError(t, err)
		log.configure(func(l *fakeLog) { l.stream(testStream).entries = nil })
		time.Sleep(10 * time.Second)
		status := j.Status()
		require.Contains(t, status.HaltReason, "the log ends at offset 0, but offset 1 was read")
		require.Greater(t, time.Since(status.LogReadAt), 8*time.Second)
		require.Equal(t, projection.SlotOwned, slotState(j, 1).State)
		_, err = j.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, 2))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
	})
}

func TestRetentionGapMakesSlotsUnknownUntilSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		link, connectedJournal := &logLink{log: log}, startJournal(t, log, 0)
		gapJournal := startJournal(t, link, 0)
		for slot := range id.Slot(3) {
			_, err := connectedJournal.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, slot))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		link.setDisconnected(true)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := gapJournal.Append(contextWithTimeout(t, time.Minute), newClaim("host-2", true, slotState(gapJournal, 2).Epoch, 2))
			require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		})
		time.Sleep(10 * time.Second)
		_, err := connectedJournal.Append(contextWithTimeout(t, time.Second), newClaim("host-3", true, slotState(connectedJournal, 1).Epoch, 1))
		require.NoError(t, err)
		log.expireBefore(testStream, log.nextOffset(testStream))
		link.setDisconnected(false)
		group.Wait()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, gapJournal.Status().RetentionGaps)
		require.Equal(t, projection.SlotUnknown, slotState(gapJournal, 1).State, "the owner may have changed in the expired entries")

		newJournal := startJournal(t, log, 0)
		writeSlotSnapshot(t, connectedJournal, 1)
		time.Sleep(time.Second)
		for _, j := range []*programsJournal{gapJournal, newJournal} {
			require.Equal(t, slotState(connectedJournal, 1), slotState(j, 1))
			require.Equal(t, projection.SlotUnknown, slotState(j, 0).State)
		}
		applyResult, err := gapJournal.Append(contextWithTimeout(t, time.Second), newClaim("host-2", true, slotState(gapJournal, 1).Epoch, 1))
		require.NoError(t, err)
		require.True(t, applyResult.Valid())
	})
}

func writeSlotSnapshot(t *testing.T, j *programsJournal, slot id.Slot) {
	t.Helper()
	var snapshot platformclient.Snapshot
	j.ViewWithOffset(func(p *projection.Programs, next id.Offset) {
		snapshot = platformclient.Snapshot{Slot: slot, NextOffset: next, Message: p.Snapshot(slot, next)}
	})
	require.NoError(t, platformclient.WriteSnapshot(contextWithTimeout(t, time.Minute), j, "host-1", snapshot, time.Now()))
}

func TestSnapshotsPreserveProgramBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			turns           = 110
			turnBytes       = 17 << 10
			retainedEntries = 30
		)
		log := newFakeLog()
		owner := startJournal(t, log, 0)
		slot := id.ProgramSlot("a")
		_, err := owner.Append(contextWithTimeout(t, time.Second), newClaim("host-1", false, 0, slot))
		require.NoError(t, err)
		write := func(body func(*record.Record)) {
			rec := record.NewFenced("host-1", slot, slotState(owner, slot).Epoch)
			body(rec)
			applyResult, err := owner.Append(contextWithTimeout(t, time.Minute), rec)
			require.NoError(t, err)
			require.True(t, applyResult.Valid(), applyResult.Reason)
		}
		write(func(rec *record.Record) {
			rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: "a", Workspace: "w"}}
		})
		for number := range uint32(turns) {
			write(func(rec *record.Record) {
				rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
					Program: "a", Number: number + 1,
					Answer: &recordpb.Message{Content: strings.Repeat("x", turnBytes)},
				}}
			})
			if number%(retainedEntries/2) == 0 {
				writeSlotSnapshot(t, owner, slot)
			}
			if next := log.nextOffset(testStream); next > retainedEntries {
				log.expireBefore(testStream, next-retainedEntries)
			}
		}
		newJournal := startJournal(t, log, 0)
		time.Sleep(time.Second)
		newJournal.View(func(p *projection.Programs) {
			program, ok := p.Program("a")
			require.True(t, ok)
			require.Len(t, program.Turns, turns)
			for i, turn := range program.Turns {
				require.Equal(t, uint32(i+1), turn.GetNumber())
				require.Len(t, turn.GetAnswer().GetContent(), turnBytes)
			}
		})
		require.Equal(t, slotState(owner, slot), slotState(newJournal, slot))
	})
}

func TestJournalStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.unreachable = true
		j := platformclient.NewJournal(&projection.Programs{}, platformclient.JournalOptions{Log: log, Stream: testStream, Logger: logr.Discard()})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		go func() {
			_, err := j.Append(contextWithTimeout(t, 3*time.Second), newClaim("host-1", false, 0, 1))
			require.Error(t, err)
		}()
		j.Run(ctx)
		time.Sleep(5 * time.Second)
		require.Zero(t, j.Status().PendingRecords)
	})
}
