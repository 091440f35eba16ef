package fold_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/fold"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

var testCall = fold.CallKey{Workspace: "w", Service: "s", Key: "k"}

// outcome returns the outcome of the intent at a position, as the owner at the slot's present epoch writes it.
func (s *stream) outcome(intent id.Position, notRun bool) *record.Record {
	rec := s.fenced(id.CallSlot("w", "k"))
	rec.Body = &recordpb.Record_Outcome{Outcome: &recordpb.Outcome{
		Workspace: "w", Service: "s", Key: "k", Status: 200, Intent: uint64(intent), NotRun: notRun,
	}}

	return rec
}

func (s *stream) callPosition() id.Position {
	s.t.Helper()
	call, ok := s.folder.State.Call(testCall)
	require.True(s.t, ok)

	return call.Position
}

func TestOutcomeThatNamesItsIntentCountsAfterATakeover(t *testing.T) {
	s := newStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	require.Equal(t, fold.Valid, s.append(s.intent()))
	late := s.outcome(s.callPosition(), false)
	unnamed := s.outcome(0, false)
	s.claim(slot)
	require.Equal(t, fold.StaleEpoch, s.append(unnamed))
	require.Equal(t, fold.Valid, s.append(late))
	call, _ := s.folder.State.Call(testCall)
	require.EqualValues(t, 200, call.Outcome.GetStatus())
}

func TestCallThatDidNotRunFreesItsKey(t *testing.T) {
	s := newStream(t)
	slot := id.CallSlot("w", "k")
	s.claim(slot)
	require.Equal(t, fold.Valid, s.append(s.intent()))
	first := s.callPosition()
	require.Equal(t, fold.NoSuchIntent, s.append(s.outcome(0, true)), "only the sender knows, and names the intent")
	require.Equal(t, fold.Valid, s.append(s.outcome(first, true)))
	require.Equal(t, fold.Valid, s.append(s.intent()))
	require.Equal(t, fold.NoSuchIntent, s.append(s.outcome(first, true)), "a copy does not touch the next call")
	require.Equal(t, fold.Valid, s.append(s.outcome(s.callPosition(), false)))
	require.Equal(t, fold.OutcomeExists, s.append(s.outcome(s.callPosition(), true)))
}

// control appends control records, each in an append of its own.
type control struct {
	t      *testing.T
	folder fold.Folder[*fold.Control]
}

func (c *control) append(rec *record.Record) fold.Verdict {
	c.t.Helper()
	rec.Born = uint64(c.folder.Next())
	data, err := record.EncodeOne(rec)
	require.NoError(c.t, err)

	return c.folder.Append(c.folder.Next(), data)[0]
}

func (c *control) reserve(upstream string, ends id.Position) fold.Verdict {
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_Reservation{Reservation: &recordpb.Reservation{
		Upstream: upstream, Service: "s", Most: 1, Ends: uint64(ends),
	}}

	return c.append(rec)
}

func (c *control) crash(run string, alone, cleared bool) {
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_Crash{Crash: &recordpb.Crash{
		Fingerprint: 7, Upstream: "u", Run: run, Alone: alone, Cleared: cleared,
	}}
	c.append(rec)
}

func TestReservationsAreBoundedAndEndOnce(t *testing.T) {
	c := &control{t: t, folder: fold.Folder[*fold.Control]{State: &fold.Control{}}}
	first := c.reserve("u1", 0)
	require.Equal(t, fold.Valid, first.Reason)
	require.Equal(t, fold.AlreadyReserved, c.reserve("u1", 0).Reason)
	require.Equal(t, fold.AlreadyReserved, c.reserve("u2", 0).Reason, "one upstream of the service at a time")
	require.Equal(t, fold.Valid, c.reserve("u1", first.Position).Reason)
	second := c.reserve("u1", 0)
	require.Equal(t, fold.Valid, second.Reason)
	require.Equal(t, fold.NoReservation, c.reserve("u1", first.Position).Reason)
}

func TestSuspicionAndReservationsSurviveASnapshot(t *testing.T) {
	c := &control{t: t, folder: fold.Folder[*fold.Control]{State: &fold.Control{}}}
	c.reserve("u1", 0)
	c.crash("1", false, false)
	require.Equal(t, poison.Suspect, c.folder.State.Standing(7))
	c.crash("2", true, false)
	require.Equal(t, poison.Confirmed, c.folder.State.Standing(7))

	next := c.folder.Next()
	data, err := proto.Marshal(c.folder.State.Snapshot(next))
	require.NoError(t, err)
	var late fold.Control
	late.Lose(next)
	require.NoError(t, late.Restore(fold.ControlSlot, fold.SnapshotMark{Next: next}, data))
	require.Equal(t, c.folder.State.Reservations(), late.Reservations())
	pos := id.NewPosition(next, 0)
	rec := record.New("host-1")
	rec.Body = &recordpb.Record_KeyWithdraw{KeyWithdraw: &recordpb.KeyWithdraw{Key: "none"}}
	late.Apply(pos, rec)
	require.Equal(t, poison.Confirmed, late.Standing(7))

	c.crash("", false, true)
	require.Equal(t, poison.Clean, c.folder.State.Standing(7))
}
