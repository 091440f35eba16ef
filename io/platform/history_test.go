package platform_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/platform"
)

const (
	historySeeds   = 20
	historyHosts   = 3
	historyClients = 5
	historyOps     = 12
	// checkTimeout bounds the search for an order; a history that it cannot decide fails the test.
	checkTimeout = time.Minute
)

// outcome is what a client learned of an operation.
type outcome int

const (
	notRun outcome = iota
	ran
	unknown
)

// history records the operations of all clients with a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// do records an operation unless it did not run.
func (h *history) do(client int, input any, run func() (any, outcome)) {
	call := h.clock.Add(1)
	output, result := run()
	if result == notRun {
		return
	}
	op := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: h.clock.Add(1)}
	if result == unknown {
		// It may take effect at any time from here on.
		op.Return = 1 << 60
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) check(t *testing.T, model porcupine.Model) {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(model, h.ops, checkTimeout)
	require.Equal(t, porcupine.Ok, result, "no order of the %d operations explains them", len(h.ops))
}

// cluster is some hosts with a journal each on one log that fails in a seeded way.
type cluster struct {
	log      *fakeLog
	links    []*link
	programs []*programsJournal
	controls []*platform.Journal[*projection.Control]
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{log: newFakeLog()}
	for range historyHosts {
		line := &link{log: c.log}
		c.links = append(c.links, line)
		c.programs = append(c.programs, run(t, line, 0))
		control := platform.NewJournal(&projection.Control{}, platform.JournalOptions{
			Log: line, Stream: platform.ControlStream, Logger: logr.Discard(),
		})
		c.controls = append(c.controls, control)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			control.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}

	return c
}

func hostName(host int) id.Host { return id.Host(fmt.Sprintf("host-%d", host)) }

// disturb cuts and pauses hosts, loses answers, takes the log down and claims slots, until ctx ends.
func (c *cluster) disturb(ctx context.Context, seed uint64, slots []id.Slot) {
	random := newRand(seed)
	for ctx.Err() == nil {
		host := random.IntN(historyHosts)
		length := time.Duration(random.IntN(3000)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			c.log.set(func(l *fakeLog) { l.loseAnswers = 1 + random.IntN(3) })
		case 1:
			c.links[host].setCut(true)
			time.Sleep(length)
			c.links[host].setCut(false)
		case 2:
			c.links[host].hold(length)
		case 3:
			c.log.set(func(l *fakeLog) { l.down = true })
			time.Sleep(length)
			c.log.set(func(l *fakeLog) { l.down = false })
		default:
			// Two hosts may claim on the same knowledge, without any silence.
			var group sync.WaitGroup
			for range 2 {
				claimer := random.IntN(historyHosts)
				group.Go(func() { c.claim(ctx, claimer, slots) })
			}
			group.Wait()
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

func (c *cluster) claim(ctx context.Context, host int, slots []id.Slot) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, slot := range slots {
		claim := claimOf(hostName(host), true, slotOf(c.programs[host], slot).Epoch, slot)
		// A claim that is void or in doubt is part of the disturbance.
		_, _ = c.programs[host].Append(ctx, claim)
	}
}

// write appends a record of the slot's owner at a host, as that host knows the slot.
func (c *cluster) write(ctx context.Context, host int, slot id.Slot, body func(*record.Record)) outcome {
	state := slotOf(c.programs[host], slot)
	if state.State != projection.SlotOwned || state.Owner != hostName(host) {
		return notRun
	}
	rec := record.NewFenced(hostName(host), slot, state.Epoch)
	body(rec)

	return outcomeOf(c.programs[host].Append(ctx, rec))
}

func outcomeOf(verdict projection.ApplyResult, err error) outcome {
	switch {
	case err != nil && apierror.From(err).Execution != apierror.NotExecuted:
		return unknown
	case err != nil || !verdict.Valid():
		return notRun
	default:
		return ran
	}
}

// clients runs operations at random hosts while the cluster is disturbed.
func (c *cluster) clients(t *testing.T, seed uint64, slots []id.Slot, op func(ctx context.Context, client, host, number int)) {
	t.Helper()
	c.claim(t.Context(), 0, slots)
	ctx, cancel := context.WithCancel(t.Context())
	var disturbance, group sync.WaitGroup
	disturbance.Go(func() { c.disturb(ctx, seed, slots) })
	for client := range historyClients {
		random := newRand(seed<<8 + uint64(client) + 1)
		group.Go(func() {
			for number := range historyOps {
				opCtx, opCancel := context.WithTimeout(t.Context(), time.Duration(200+random.IntN(2000))*time.Millisecond)
				op(opCtx, client, random.IntN(historyHosts), number)
				opCancel()
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	cancel()
	disturbance.Wait()
	time.Sleep(time.Minute)
}

func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// only returns the state if it explains what was seen.
func only(ok bool, state any) []any {
	if ok {
		return []any{state}
	}

	return nil
}

// turnInput is an attempt to add a turn.
type turnInput struct{ value string }

// turnOutput holds the history that the turn continues; a reader returns the whole of it.
type turnOutput struct {
	before  string
	unknown bool
	read    bool
}

// turnModel is a list that each turn extends; a turn of unknown fate may have extended it.
var turnModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(turnInput), output.(turnOutput)
		matches := state.(string) == out.before
		if out.read {
			return only(matches, state)
		}
		extended := only(matches, state.(string)+in.value+";")
		if out.unknown {
			return append([]any{state}, extended...)
		}

		return extended
	},
}

// Each turn continues exactly the history that its writer saw, none is lost, and none is added by a past owner.
func TestHistoryOfTurns(t *testing.T) {
	kept := 0
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t)
		slot := id.ProgramSlot("a")
		h := &history{}
		c.claim(t.Context(), 0, []id.Slot{slot})
		require.Equal(t, ran, c.write(within(t, time.Second), 0, slot, func(rec *record.Record) {
			rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: "a", Workspace: "w"}}
		}))
		c.clients(t, seed, []id.Slot{slot}, func(ctx context.Context, client, host, number int) {
			value := fmt.Sprintf("%d.%d", client, number)
			h.do(client, turnInput{value: value}, func() (any, outcome) {
				before := turnsAt(c.programs[host], "a")
				result := c.write(ctx, host, slot, func(rec *record.Record) {
					rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
						Program: "a", Number: uint32(strings.Count(before, ";")) + 1, FinishReason: value,
					}}
				})

				return turnOutput{before: before, unknown: result == unknown}, result
			})
		})
		final := turnsAt(c.programs[0], "a")
		for host := range historyHosts {
			require.Equal(t, final, turnsAt(c.programs[host], "a"), "host %d", host)
		}
		h.do(historyClients, turnInput{}, func() (any, outcome) { return turnOutput{before: final, read: true}, ran })
		h.check(t, turnModel.ToModel())
		kept += strings.Count(final, ";")
	})
	require.Positive(t, kept)
	t.Logf("%d turns kept over %d seeds", kept, historySeeds)
}

func turnsAt(j *programsJournal, program id.Program) string {
	var turns strings.Builder
	j.View(func(p *projection.Programs) {
		if state, ok := p.Program(program); ok {
			for _, turn := range state.Turns {
				turns.WriteString(turn.GetFinishReason() + ";")
			}
		}
	})

	return turns.String()
}

// sendOutput says whether a call was sent, by whoever had a valid intent.
type sendOutput struct{ sent, unknown bool }

// sendModel is a register that is taken once by the sender of a call.
var sendModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		out, taken := output.(sendOutput), state.(bool)
		if out.unknown {
			return []any{taken, true}
		}

		return only(out.sent && !taken, true)
	},
}

// A call is sent at most once, whichever hosts try and whatever answers are lost.
func TestHistoryOfIntents(t *testing.T) {
	const keys = 8
	sent := 0
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t)
		var slots []id.Slot
		histories := make([]*history, keys)
		for key := range keys {
			slots = append(slots, id.CallSlot("w", fmt.Sprint(key)))
			histories[key] = &history{}
		}
		c.clients(t, seed, slots, func(ctx context.Context, client, host, number int) {
			key := (client + number) % keys
			histories[key].do(client, key, func() (any, outcome) {
				result := c.write(ctx, host, slots[key], func(rec *record.Record) {
					rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Workspace: "w", Service: "s", Key: fmt.Sprint(key)}}
				})

				return sendOutput{sent: result == ran, unknown: result == unknown}, result
			})
		})
		for _, h := range histories {
			h.check(t, sendModel.ToModel())
			for _, op := range h.ops {
				if op.Output.(sendOutput).sent {
					sent++
				}
			}
		}
	})
	require.Positive(t, sent)
	t.Logf("%d calls sent over %d seeds", sent, historySeeds)
}

// publishInput replaces the settings that the operator saw.
type publishInput struct{ base, document string }

type publishOutput struct {
	unknown, read bool
	seen          string
}

// settingsModel is a register that changes by compare-and-set.
var settingsModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(publishInput), output.(publishOutput)
		if out.read {
			return only(state.(string) == out.seen, state)
		}
		swapped := only(state.(string) == in.base, in.document)
		if out.unknown {
			return append([]any{state}, swapped...)
		}

		return swapped
	},
}

// Settings are a compare-and-set register: accepted changes follow each other, and no host sees one revert.
func TestHistoryOfSettings(t *testing.T) {
	accepted := 0
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t)
		h := &history{}
		watching, stop := context.WithCancel(t.Context())
		var watchers sync.WaitGroup
		for _, control := range c.controls {
			watchers.Go(func() { neverReverts(watching, t, control) })
		}
		c.clients(t, seed, []id.Slot{1}, func(ctx context.Context, client, host, number int) {
			base := settingsAt(c.controls[host])
			document := fmt.Sprintf("%d.%d", client, number)
			h.do(client, publishInput{base: base.Document, document: document}, func() (any, outcome) {
				rec := record.New(hostName(host))
				rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
					Base: uint64(base.Version), Document: document,
				}}
				result := outcomeOf(c.controls[host].Append(ctx, rec))

				return publishOutput{unknown: result == unknown}, result
			})
		})
		stop()
		watchers.Wait()
		final := settingsAt(c.controls[0])
		for _, control := range c.controls {
			require.Equal(t, final, settingsAt(control))
		}
		for _, op := range h.ops {
			if !op.Output.(publishOutput).unknown {
				accepted++
			}
		}
		h.do(historyClients, publishInput{}, func() (any, outcome) {
			return publishOutput{read: true, seen: final.Document}, ran
		})
		h.check(t, settingsModel.ToModel())
	})
	require.Positive(t, accepted)
	t.Logf("%d changes accepted over %d seeds", accepted, historySeeds)
}

func settingsAt(j *platform.Journal[*projection.Control]) projection.SettingsVersion {
	var version projection.SettingsVersion
	j.View(func(c *projection.Control) { version = c.Settings() })

	return version
}

func neverReverts(ctx context.Context, t *testing.T, j *platform.Journal[*projection.Control]) {
	t.Helper()
	var latest id.Position
	for ctx.Err() == nil {
		changed := j.Changed()
		version := settingsAt(j).Version
		if version < latest {
			t.Errorf("settings went back from version %d to %d", latest, version)
		}
		latest = version
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
