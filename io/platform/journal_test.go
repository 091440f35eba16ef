package platform_test

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
	"cardamomward/io/platform"
)

const testStream = platform.ProgramsStream

type programsJournal = platform.Journal[*projection.Programs]

// run starts a journal until the test's bubble ends.
func run(t *testing.T, log platform.Log, spacing time.Duration) *programsJournal {
	t.Helper()
	j := platform.NewJournal(&projection.Programs{}, platform.JournalOptions{
		Log: log, Stream: testStream, Linger: 5 * time.Millisecond, Logger: logr.Discard(),
		Spacing: func() time.Duration { return spacing },
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
		require.Zero(t, j.Status().Waiting, "records are still awaited")
	})

	return j
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)

	return ctx
}

func claimOf(host id.Host, forced bool, epoch id.Epoch, slots ...id.Slot) *record.Record {
	body := &recordpb.Claim{Forced: forced, Run: "run"}
	for _, slot := range slots {
		body.Slots = append(body.Slots, uint32(slot))
		body.Epochs = append(body.Epochs, uint64(epoch))
	}
	rec := record.New(host)
	rec.Body = &recordpb.Record_Claim{Claim: body}

	return rec
}

func slotOf(j *programsJournal, slot id.Slot) projection.SlotState {
	var state projection.SlotState
	j.View(func(p *projection.Programs) { state = p.Slot(slot) })

	return state
}

func TestLostAnswerLeavesOneRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := run(t, log, 0)
		log.set(func(l *fakeLog) { l.loseAnswers = 3 })
		verdict, err := j.Append(within(t, 10*time.Second), claimOf("host-1", false, 0, 1))
		require.NoError(t, err)
		require.True(t, verdict.Valid())
		synctest.Wait()
		require.Equal(t, 1, slotOf(j, 1).ClaimCount)
		require.Equal(t, verdict.Position, slotOf(j, 1).Epoch)
	})
}

func TestRecordThatWasNeverSentIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := run(t, log, 0)
		log.set(func(l *fakeLog) { l.unreachable = true })
		var group sync.WaitGroup
		group.Go(func() {
			_, err := j.Append(within(t, 5*time.Second), claimOf("host-1", false, 0, 1))
			require.True(t, errorx.IsOfType(err, platform.ErrOutage), "a record that was sent is in doubt")
			require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		})
		time.Sleep(time.Second)
		_, err := j.Append(within(t, 2*time.Second), claimOf("host-1", false, 0, 2))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution, "a record behind it was never sent")
		group.Wait()
		log.set(func(l *fakeLog) { l.unreachable = false })
		time.Sleep(time.Minute)
		require.Equal(t, id.Offset(0), log.next(testStream), "nobody waits for the records any more")
	})
}

func TestRefusedAppendDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := run(t, log, 0)
		log.set(func(l *fakeLog) { l.down = true })
		_, err := j.Append(within(t, 5*time.Second), claimOf("host-1", false, 0, 1))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
		// An attempt whose answer was lost stays in doubt, whatever the log says to later ones.
		time.Sleep(time.Minute)
		// Whether a read shows the record before the log is down again would depend on the readers' jitter.
		log.set(func(l *fakeLog) { l.down, l.readsDown, l.loseAnswers, l.slow = false, true, 1, 100*time.Millisecond })
		go func() {
			time.Sleep(110 * time.Millisecond)
			log.set(func(l *fakeLog) { l.down = true })
		}()
		_, err = j.Append(within(t, 2*time.Second), claimOf("host-1", false, 0, 2))
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
	})
}

func TestOutageOfMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := run(t, log, 0)
		_, err := j.Append(within(t, time.Second), claimOf("host-1", false, 0, 1))
		require.NoError(t, err)
		log.set(func(l *fakeLog) { l.down = true; l.attempts = 0 })
		begin := time.Now()
		var group sync.WaitGroup
		var took time.Duration
		group.Go(func() {
			verdict, err := j.Append(within(t, time.Hour), claimOf("host-1", false, 0, 2))
			require.NoError(t, err)
			require.True(t, verdict.Valid())
			took = time.Since(begin)
		})
		time.Sleep(5 * time.Minute)
		require.GreaterOrEqual(t, time.Since(j.Status().Heard), 5*time.Minute, "news of the log is as old as the outage")
		log.set(func(l *fakeLog) {
			require.Less(t, l.attempts, 400, "appends are tried again with a growing pause")
			l.down = false
		})
		group.Wait()
		require.Less(t, took, 5*time.Minute+4*time.Second)
		time.Sleep(4 * time.Second)
		require.Less(t, time.Since(j.Status().Heard), 4*time.Second)
	})
}

func TestNewsAreAsOldAsTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		line := &link{log: log}
		j := run(t, line, 0)
		_, err := j.Append(within(t, time.Second), claimOf("host-1", false, 0, 1))
		require.NoError(t, err)
		time.Sleep(1500 * time.Millisecond)
		before := time.Now()
		line.hold(time.Minute)
		synctest.Wait()
		// The process wakes with an answer from before its pause.
		require.False(t, j.Status().Heard.After(before), "an answer that waited for a minute is no news")
	})
}

func TestGroupCommitKeepsTheLogsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts     = 12
			writers   = 40
			records   = 25
			perSecond = 100
			spacing   = hosts * time.Second / 250
		)
		log := newFakeLog()
		log.perSecond = perSecond
		begin := time.Now()
		var group sync.WaitGroup
		for host := range hosts {
			j := run(t, log, spacing)
			for writer := range writers {
				group.Go(func() {
					for range records {
						rec := record.New(id.Host(fmt.Sprintf("host-%d", host)))
						rec.Body = &recordpb.Record_Release{Release: &recordpb.Release{Slots: []uint32{uint32(writer)}, Epochs: []uint64{0}}}
						_, err := j.Append(within(t, 5*time.Minute), rec)
						require.NoError(t, err)
					}
				})
			}
		}
		group.Wait()
		took := time.Since(begin)
		t.Logf("%d records in %d appends, %d attempts, %s", hosts*writers*records, log.appends, log.attempts, took)
		require.LessOrEqual(t, float64(log.appends), perSecond*(took.Seconds()+1))
		require.Less(t, log.attempts, 3*log.appends, "refused appends are few")
		require.Less(t, log.appends, hosts*writers*records/10, "records share appends")
	})
}

func TestPoisonedRecordsHarmNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := run(t, newFakeLog(), 0)
		bad := claimOf("host-1", false, 0, 1)
		bad.Host = "\xff"
		_, err := j.Append(t.Context(), bad)
		require.Equal(t, apierror.InvalidRequest, apierror.From(err).Kind)
		bad.Host = strings.Repeat("x", 5<<20)
		_, err = j.Append(t.Context(), bad)
		require.Equal(t, apierror.TooLarge, apierror.From(err).Kind)
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				rec := claimOf("host-1", false, 0, id.Slot(i))
				rec.GetClaim().Run = strings.Repeat("x", 1<<20)
				verdict, err := j.Append(within(t, time.Minute), rec)
				require.NoError(t, err)
				require.True(t, verdict.Valid())
			})
		}
		group.Wait()
	})
}

func TestLogThatLostItsHistoryStopsTheJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		j := run(t, log, 0)
		_, err := j.Append(within(t, time.Second), claimOf("host-1", false, 0, 1))
		require.NoError(t, err)
		log.set(func(l *fakeLog) { l.stream(testStream).entries = nil })
		time.Sleep(10 * time.Second)
		status := j.Status()
		require.Contains(t, status.Halted, "the log ends at offset 0, but offset 1 was read")
		require.Greater(t, time.Since(status.Heard), 8*time.Second)
		require.Equal(t, projection.SlotOwned, slotOf(j, 1).State)
		_, err = j.Append(within(t, time.Second), claimOf("host-1", false, 0, 2))
		require.Equal(t, apierror.NotExecuted, apierror.From(err).Execution)
	})
}

func TestRetentionGapMakesSlotsUnknownUntilASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		cut, whole := &link{log: log}, run(t, log, 0)
		late := run(t, cut, 0)
		for slot := range id.Slot(3) {
			_, err := whole.Append(within(t, time.Second), claimOf("host-1", false, 0, slot))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		cut.setCut(true)
		var group sync.WaitGroup
		group.Go(func() {
			_, err := late.Append(within(t, time.Minute), claimOf("host-2", true, slotOf(late, 2).Epoch, 2))
			require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		})
		time.Sleep(10 * time.Second)
		_, err := whole.Append(within(t, time.Second), claimOf("host-3", true, slotOf(whole, 1).Epoch, 1))
		require.NoError(t, err)
		log.expire(testStream, log.next(testStream))
		cut.setCut(false)
		group.Wait()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, late.Status().Gaps)
		require.Equal(t, projection.SlotUnknown, slotOf(late, 1).State, "a slot that may have changed hands unseen")

		fresh := run(t, log, 0)
		snapshotSlot(t, whole, 1)
		time.Sleep(time.Second)
		for _, j := range []*programsJournal{late, fresh} {
			require.Equal(t, slotOf(whole, 1), slotOf(j, 1))
			require.Equal(t, projection.SlotUnknown, slotOf(j, 0).State)
		}
		verdict, err := late.Append(within(t, time.Second), claimOf("host-2", true, slotOf(late, 1).Epoch, 1))
		require.NoError(t, err)
		require.True(t, verdict.Valid())
	})
}

func snapshotSlot(t *testing.T, j *programsJournal, slot id.Slot) {
	t.Helper()
	var snapshot platform.Snapshot
	j.ViewAt(func(p *projection.Programs, next id.Offset) {
		snapshot = platform.Snapshot{Slot: slot, Next: next, Message: p.Snapshot(slot, next)}
	})
	require.NoError(t, platform.WriteSnapshot(within(t, time.Minute), j, "host-1", snapshot, time.Now()))
}

func TestLongConversationOutlivesTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			turns     = 110
			turnBytes = 17 << 10
			keep      = 30
		)
		log := newFakeLog()
		owner := run(t, log, 0)
		slot := id.ProgramSlot("a")
		_, err := owner.Append(within(t, time.Second), claimOf("host-1", false, 0, slot))
		require.NoError(t, err)
		write := func(body func(*record.Record)) {
			rec := record.NewFenced("host-1", slot, slotOf(owner, slot).Epoch)
			body(rec)
			verdict, err := owner.Append(within(t, time.Minute), rec)
			require.NoError(t, err)
			require.True(t, verdict.Valid(), verdict.Reason)
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
			if number%(keep/2) == 0 {
				snapshotSlot(t, owner, slot)
			}
			if next := log.next(testStream); next > keep {
				log.expire(testStream, next-keep)
			}
		}
		fresh := run(t, log, 0)
		time.Sleep(time.Second)
		fresh.View(func(p *projection.Programs) {
			program, ok := p.Program("a")
			require.True(t, ok)
			require.Len(t, program.Turns, turns)
			for i, turn := range program.Turns {
				require.Equal(t, uint32(i+1), turn.GetNumber())
				require.Len(t, turn.GetAnswer().GetContent(), turnBytes)
			}
		})
		require.Equal(t, slotOf(owner, slot), slotOf(fresh, slot))
	})
}

func TestJournalEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.unreachable = true
		j := platform.NewJournal(&projection.Programs{}, platform.JournalOptions{Log: log, Stream: testStream, Logger: logr.Discard()})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		go func() {
			_, err := j.Append(within(t, 3*time.Second), claimOf("host-1", false, 0, 1))
			require.Error(t, err)
		}()
		j.Run(ctx)
		time.Sleep(5 * time.Second)
		require.Zero(t, j.Status().Waiting)
	})
}
