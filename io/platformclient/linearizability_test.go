package platformclient_test

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
	"cardamomward/io/platformclient"
)

const (
	seedCount           = 20
	hostCount           = 3
	clientCount         = 5
	operationsPerClient = 12
	// checkTimeout bounds the linearizability check; a history that it cannot decide fails the test.
	checkTimeout = time.Minute
)

// outcome is what a client knows of an operation.
type outcome int

const (
	notExecuted outcome = iota
	executed
	unknown
)

// operationHistory records the operations of all clients with a logical clock.
type operationHistory struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// recordOperation runs an operation and records it, unless it was not executed.
func (h *operationHistory) recordOperation(client int, input any, operation func() (any, outcome)) {
	call := h.clock.Add(1)
	output, result := operation()
	if result == notExecuted {
		return
	}
	op := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: h.clock.Add(1)}
	if result == unknown {
		// It may take effect at any later time.
		op.Return = 1 << 60
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *operationHistory) checkLinearizable(t *testing.T, model porcupine.Model) {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(model, h.ops, checkTimeout)
	require.Equal(t, porcupine.Ok, result, "the %d operations are not linearizable, or the check timed out", len(h.ops))
}

// faultyCluster is a set of hosts with their journals on one log, into which seeded faults are injected.
type faultyCluster struct {
	log      *fakeLog
	links    []*logLink
	programs []*programsJournal
	controls []*platformclient.Journal[*projection.Control]
}

func newFaultyCluster(t *testing.T) *faultyCluster {
	t.Helper()
	c := &faultyCluster{log: newFakeLog()}
	for range hostCount {
		link := &logLink{log: c.log}
		c.links = append(c.links, link)
		c.programs = append(c.programs, startJournal(t, link, 0))
		control := platformclient.NewJournal(&projection.Control{}, platformclient.JournalOptions{
			Log: link, Stream: platformclient.ControlStream, Logger: logr.Discard(),
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

// injectFaults disconnects and pauses hosts, loses responses, takes the log down and claims slots, until ctx ends.
func (c *faultyCluster) injectFaults(ctx context.Context, seed uint64, slots []id.Slot) {
	random := newRand(seed)
	for ctx.Err() == nil {
		host := random.IntN(hostCount)
		faultDuration := time.Duration(random.IntN(3000)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			c.log.configure(func(l *fakeLog) { l.lostResponses = 1 + random.IntN(3) })
		case 1:
			c.links[host].setDisconnected(true)
			time.Sleep(faultDuration)
			c.links[host].setDisconnected(false)
		case 2:
			c.links[host].delayResponses(faultDuration)
		case 3:
			c.log.configure(func(l *fakeLog) { l.down = true })
			time.Sleep(faultDuration)
			c.log.configure(func(l *fakeLog) { l.down = false })
		default:
			// Two hosts may claim the same slots at the same epochs while both are live.
			var group sync.WaitGroup
			for range 2 {
				claimer := random.IntN(hostCount)
				group.Go(func() { c.claim(ctx, claimer, slots) })
			}
			group.Wait()
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

func (c *faultyCluster) claim(ctx context.Context, host int, slots []id.Slot) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, slot := range slots {
		claim := newClaim(hostName(host), true, slotState(c.programs[host], slot).Epoch, slot)
		// A claim that is invalid or in doubt is one of the faults.
		_, _ = c.programs[host].Append(ctx, claim)
	}
}

// appendFenced appends a record with the slot's epoch as the host knows it, if the host owns the slot.
func (c *faultyCluster) appendFenced(ctx context.Context, host int, slot id.Slot, body func(*record.Record)) outcome {
	state := slotState(c.programs[host], slot)
	if state.State != projection.SlotOwned || state.Owner != hostName(host) {
		return notExecuted
	}
	rec := record.NewFenced(hostName(host), slot, state.Epoch)
	body(rec)

	return outcomeOfAppend(c.programs[host].Append(ctx, rec))
}

func outcomeOfAppend(applyResult projection.ApplyResult, err error) outcome {
	switch {
	case err != nil && apierror.From(err).Execution != apierror.NotExecuted:
		return unknown
	case err != nil || !applyResult.Valid():
		return notExecuted
	default:
		return executed
	}
}

// runClients runs operations of all clients at random hosts while faults are injected.
func (c *faultyCluster) runClients(t *testing.T, seed uint64, slots []id.Slot, op func(ctx context.Context, client, host, number int)) {
	t.Helper()
	c.claim(t.Context(), 0, slots)
	ctx, cancel := context.WithCancel(t.Context())
	var faults, group sync.WaitGroup
	faults.Go(func() { c.injectFaults(ctx, seed, slots) })
	for client := range clientCount {
		random := newRand(seed<<8 + uint64(client) + 1)
		group.Go(func() {
			for number := range operationsPerClient {
				opCtx, opCancel := context.WithTimeout(t.Context(), time.Duration(200+random.IntN(2000))*time.Millisecond)
				op(opCtx, client, random.IntN(hostCount), number)
				opCancel()
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	cancel()
	faults.Wait()
	time.Sleep(time.Minute)
}

func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// stateIf returns the state as the only next state, or none if ok is false.
func stateIf(ok bool, state any) []any {
	if ok {
		return []any{state}
	}

	return nil
}

// turnInput is an attempt to append a turn.
type turnInput struct{ value string }

// turnOutput holds the turns before the new one; a read returns all turns.
type turnOutput struct {
	before  string
	unknown bool
	read    bool
}

// turnModel is a list to which each turn is appended; a turn with an unknown outcome may have been appended.
var turnModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(turnInput), output.(turnOutput)
		matches := state.(string) == out.before
		if out.read {
			return stateIf(matches, state)
		}
		extended := stateIf(matches, state.(string)+in.value+";")
		if out.unknown {
			return append([]any{state}, extended...)
		}

		return extended
	},
}

// Each turn follows exactly the turns that its writer had read, no turn is lost, and a former owner adds none.
func TestTurnsAreLinearizable(t *testing.T) {
	turnCount := 0
	forEachSeed(t, func(t *testing.T, seed uint64) {
		c := newFaultyCluster(t)
		slot := id.ProgramSlot("a")
		h := &operationHistory{}
		c.claim(t.Context(), 0, []id.Slot{slot})
		require.Equal(t, executed, c.appendFenced(contextWithTimeout(t, time.Second), 0, slot, func(rec *record.Record) {
			rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{Program: "a", Workspace: "w"}}
		}))
		c.runClients(t, seed, []id.Slot{slot}, func(ctx context.Context, client, host, number int) {
			value := fmt.Sprintf("%d.%d", client, number)
			h.recordOperation(client, turnInput{value: value}, func() (any, outcome) {
				before := turnsOf(c.programs[host], "a")
				result := c.appendFenced(ctx, host, slot, func(rec *record.Record) {
					rec.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
						Program: "a", Number: uint32(strings.Count(before, ";")) + 1, FinishReason: value,
					}}
				})

				return turnOutput{before: before, unknown: result == unknown}, result
			})
		})
		final := turnsOf(c.programs[0], "a")
		for host := range hostCount {
			require.Equal(t, final, turnsOf(c.programs[host], "a"), "host %d", host)
		}
		h.recordOperation(clientCount, turnInput{}, func() (any, outcome) { return turnOutput{before: final, read: true}, executed })
		h.checkLinearizable(t, turnModel.ToModel())
		turnCount += strings.Count(final, ";")
	})
	require.Positive(t, turnCount)
	t.Logf("%d turns kept over %d seeds", turnCount, seedCount)
}

func turnsOf(j *programsJournal, program id.Program) string {
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

// sendOutput says whether the intent of a call was valid, so that the call was sent.
type sendOutput struct{ sent, unknown bool }

// sendModel is a register that the sender of a call can set once.
var sendModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		out, alreadySent := output.(sendOutput), state.(bool)
		if out.unknown {
			return []any{alreadySent, true}
		}

		return stateIf(out.sent && !alreadySent, true)
	},
}

// A call is sent at most once, even if several hosts try to send it and responses are lost.
func TestIntentsAreLinearizable(t *testing.T) {
	const keys = 8
	sent := 0
	forEachSeed(t, func(t *testing.T, seed uint64) {
		c := newFaultyCluster(t)
		var slots []id.Slot
		histories := make([]*operationHistory, keys)
		for key := range keys {
			slots = append(slots, id.CallSlot("w", fmt.Sprint(key)))
			histories[key] = &operationHistory{}
		}
		c.runClients(t, seed, slots, func(ctx context.Context, client, host, number int) {
			key := (client + number) % keys
			histories[key].recordOperation(client, key, func() (any, outcome) {
				result := c.appendFenced(ctx, host, slots[key], func(rec *record.Record) {
					rec.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{Workspace: "w", Service: "s", Key: fmt.Sprint(key)}}
				})

				return sendOutput{sent: result == executed, unknown: result == unknown}, result
			})
		})
		for _, h := range histories {
			h.checkLinearizable(t, sendModel.ToModel())
			for _, op := range h.ops {
				if op.Output.(sendOutput).sent {
					sent++
				}
			}
		}
	})
	require.Positive(t, sent)
	t.Logf("%d calls sent over %d seeds", sent, seedCount)
}

// publishInput replaces the settings that the operator had read.
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
			return stateIf(state.(string) == out.seen, state)
		}
		replaced := stateIf(state.(string) == in.base, in.document)
		if out.unknown {
			return append([]any{state}, replaced...)
		}

		return replaced
	},
}

// Settings are a compare-and-set register: each accepted change is based on the previous one, and the version never
// decreases at any host.
func TestSettingsAreLinearizable(t *testing.T) {
	acceptedCount := 0
	forEachSeed(t, func(t *testing.T, seed uint64) {
		c := newFaultyCluster(t)
		h := &operationHistory{}
		watching, stop := context.WithCancel(t.Context())
		var watchers sync.WaitGroup
		for _, control := range c.controls {
			watchers.Go(func() { checkVersionNeverDecreases(watching, t, control) })
		}
		c.runClients(t, seed, []id.Slot{1}, func(ctx context.Context, client, host, number int) {
			base := currentSettings(c.controls[host])
			document := fmt.Sprintf("%d.%d", client, number)
			h.recordOperation(client, publishInput{base: base.Document, document: document}, func() (any, outcome) {
				rec := record.New(hostName(host))
				rec.Body = &recordpb.Record_SettingsPublish{SettingsPublish: &recordpb.SettingsPublish{
					Base: uint64(base.Version), Document: document,
				}}
				result := outcomeOfAppend(c.controls[host].Append(ctx, rec))

				return publishOutput{unknown: result == unknown}, result
			})
		})
		stop()
		watchers.Wait()
		final := currentSettings(c.controls[0])
		for _, control := range c.controls {
			require.Equal(t, final, currentSettings(control))
		}
		for _, op := range h.ops {
			if !op.Output.(publishOutput).unknown {
				acceptedCount++
			}
		}
		h.recordOperation(clientCount, publishInput{}, func() (any, outcome) {
			return publishOutput{read: true, seen: final.Document}, executed
		})
		h.checkLinearizable(t, settingsModel.ToModel())
	})
	require.Positive(t, acceptedCount)
	t.Logf("%d changes accepted over %d seeds", acceptedCount, seedCount)
}

func currentSettings(j *platformclient.Journal[*projection.Control]) projection.SettingsVersion {
	var version projection.SettingsVersion
	j.View(func(c *projection.Control) { version = c.Settings() })

	return version
}

func checkVersionNeverDecreases(ctx context.Context, t *testing.T, j *platformclient.Journal[*projection.Control]) {
	t.Helper()
	var latest id.Position
	for ctx.Err() == nil {
		changed := j.Changed()
		version := currentSettings(j).Version
		if version < latest {
			t.Errorf("the settings version decreased from %d to %d", latest, version)
		}
		latest = version
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
