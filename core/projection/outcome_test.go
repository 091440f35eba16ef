package projection_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

var testCall = projection.CallKey{Workspace: "w", Service: "s", Key: "k"}

// outcome returns an outcome for the intent at a position, or for none at zero, from the slot's current owner.
func (s *programsStream) outcome(intent id.Position, notRun bool) *record.Record {
	rec := s.fenced(id.CallSlot("w", "k"))
	rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
		Workspace: "w", Service: "s", Key: "k", Status: 200, Intent: uint64(intent), NotRun: notRun,
	}}

	return rec
}

func (s *programsStream) callPosition() id.Position {
	s.t.Helper()
	call, ok := s.applier.State.Call(testCall)
	require.True(s.t, ok)

	return call.Position
}

func TestOutcomeWithIntentPositionIsValidAfterTakeover(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	require.Equal(t, projection.Valid, s.append(s.intent()))
	late := s.outcome(s.callPosition(), false)
	withoutIntent := s.outcome(0, false)
	s.claim(slot)
	require.Equal(t, projection.StaleEpoch, s.append(withoutIntent))
	require.Equal(t, projection.Valid, s.append(late))
	call, _ := s.applier.State.Call(testCall)
	require.EqualValues(t, 200, call.Outcome.GetStatus())
}

func TestNotRunOutcomeFreesCallKey(t *testing.T) {
	s := newProgramsStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	require.Equal(t, projection.Valid, s.append(s.intent()))
	first := s.callPosition()
	require.Equal(t, projection.NoSuchIntent, s.append(s.outcome(0, true)), "a not-run outcome needs the position of its intent")
	require.Equal(t, projection.Valid, s.append(s.outcome(first, true)))
	require.Equal(t, projection.Valid, s.append(s.intent()))
	require.Equal(t, projection.NoSuchIntent, s.append(s.outcome(first, true)), "a copy does not change the next call")
	require.Equal(t, projection.Valid, s.append(s.outcome(s.callPosition(), false)))
	require.Equal(t, projection.OutcomeExists, s.append(s.outcome(s.callPosition(), true)))
}

// controlStream appends control records, each in an append of its own.
type controlStream struct {
	t       *testing.T
	applier projection.Applier[*projection.Control]
}

func (c *controlStream) append(rec *record.Record) projection.ApplyResult {
	c.t.Helper()
	rec.Born = uint64(c.applier.NextOffset())
	data, err := record.EncodeOne(rec)
	require.NoError(c.t, err)

	return c.applier.ApplyAppend(c.applier.NextOffset(), data)[0]
}

func (c *controlStream) reserve(upstream string, ends id.Position) projection.ApplyResult {
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_Reservation{Reservation: &recordpb.Reservation{
		Upstream: upstream, Service: "s", Most: 1, Ends: uint64(ends),
	}}

	return c.append(rec)
}

func (c *controlStream) crash(run string, alone, cleared bool) {
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_Crash{Crash: &recordpb.Crash{
		Fingerprint: 7, Upstream: "u", Run: run, Alone: alone, Cleared: cleared,
	}}
	c.append(rec)
}

func TestReservationsAreLimitedAndEndOnce(t *testing.T) {
	c := &controlStream{t: t, applier: projection.Applier[*projection.Control]{State: &projection.Control{}}}
	first := c.reserve("u1", 0)
	require.Equal(t, projection.Valid, first.Reason)
	require.Equal(t, projection.AlreadyReserved, c.reserve("u1", 0).Reason)
	require.Equal(t, projection.AlreadyReserved, c.reserve("u2", 0).Reason, "one upstream of the service at a time")
	require.Equal(t, projection.Valid, c.reserve("u1", first.Position).Reason)
	second := c.reserve("u1", 0)
	require.Equal(t, projection.Valid, second.Reason)
	require.Equal(t, projection.NoSuchReservation, c.reserve("u1", first.Position).Reason)
}

func TestCrashesAndReservationsSurviveSnapshot(t *testing.T) {
	c := &controlStream{t: t, applier: projection.Applier[*projection.Control]{State: &projection.Control{}}}
	c.reserve("u1", 0)
	c.crash("1", false, false)
	require.Equal(t, poison.Suspect, c.applier.State.PoisonStatus(7))
	c.crash("2", true, false)
	require.Equal(t, poison.Confirmed, c.applier.State.PoisonStatus(7))

	next := c.applier.NextOffset()
	data, err := proto.Marshal(c.applier.State.Snapshot(next))
	require.NoError(t, err)
	var late projection.Control
	late.Invalidate(next)
	require.NoError(t, late.Restore(projection.ControlSlot, projection.SnapshotMeta{NextOffset: next}, data))
	require.Equal(t, c.applier.State.Reservations(), late.Reservations())
	pos := id.NewPosition(next, 0)
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: "none"}}
	late.Apply(pos, rec)
	require.Equal(t, poison.Confirmed, late.PoisonStatus(7))

	c.crash("", false, true)
	require.Equal(t, poison.Clean, c.applier.State.PoisonStatus(7))
}
