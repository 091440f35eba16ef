package fold

import (
	"fmt"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// Reason says why a record is void; the empty reason means that it is valid.
type Reason string

// Reasons for which records are void.
const (
	Valid           Reason = ""
	Duplicate       Reason = "duplicate"
	Late            Reason = "late"
	Malformed       Reason = "malformed"
	StateUnknown    Reason = "state-unknown"
	StaleEpoch      Reason = "stale-epoch"
	StaleBase       Reason = "stale-base"
	UnknownVersion  Reason = "unknown-version"
	UnknownKind     Reason = "unknown-kind"
	OutOfOrder      Reason = "out-of-order"
	NoSuchProgram   Reason = "no-such-program"
	ProgramExists   Reason = "program-exists"
	ProgramNotOpen  Reason = "program-not-open"
	IntentExists    Reason = "intent-exists"
	NoSuchIntent    Reason = "no-such-intent"
	OutcomeExists   Reason = "outcome-exists"
	WrongSlot       Reason = "wrong-slot"
	NotOwner        Reason = "not-owner"
	KeyExists       Reason = "key-exists"
	NoSuchKey       Reason = "no-such-key"
	AlreadyReserved Reason = "already-reserved"
	NoReservation   Reason = "no-such-reservation"
	AlreadyIncluded Reason = "already-included"
)

// Verdict is the outcome of folding one record.
type Verdict struct {
	ID       string
	Position id.Position
	Reason   Reason
}

// Valid reports whether the record counts.
func (v Verdict) Valid() bool { return v.Reason == Valid }

// Finding reports a payload that could not be folded, with its place.
type Finding struct {
	Offset  id.Offset
	Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("offset %d: %s", f.Offset, f.Problem)
}

// State is a fold over one stream.
type State interface {
	// Apply folds one record and says whether it counts.
	Apply(pos id.Position, rec *record.Record) Reason
	// Lose marks all state as unknown: the records before first were not read.
	Lose(first id.Offset)
	// Wants reports whether the state of a slot is unknown, so that a snapshot of it is needed.
	Wants(slot id.Slot) bool
	// Restore takes over a complete snapshot; its data is nil where the state did not want it.
	Restore(slot id.Slot, mark SnapshotMark, data []byte) error
	// Complete reports whether the state can be used at all.
	Complete() bool
}

// Windows, in appends, after which the fold forgets.
const (
	// DedupWindow is how far behind its birth a record may be appended, so also how long its id is remembered.
	DedupWindow = 1 << 14
	// ProgramWindow is how long a program is kept after its end.
	ProgramWindow = 1 << 18
	// CallWindow is how long the key of a call that must not be repeated is kept after its intent.
	CallWindow = 1 << 22
	// CrashWindow is how long the crashes of a request are kept after the latest.
	CrashWindow = 1 << 17
)

// Folder feeds the appends of one stream to a state and drops second copies.
type Folder[S State] struct {
	State    S
	next     id.Offset
	seen     seen
	chunks   assembler
	findings []Finding
	unknown  map[uint32]int
	corrupt  int
}

// maxFindings bounds the findings that a folder keeps for the dump.
const maxFindings = 100

// Next returns the offset of the first append that is not folded yet.
func (f *Folder[S]) Next() id.Offset { return f.next }

// Findings returns the latest payloads that could not be folded.
func (f *Folder[S]) Findings() []Finding { return f.findings }

// Unknown returns how many records of each newer version were skipped.
func (f *Folder[S]) Unknown() map[uint32]int { return f.unknown }

// Corrupt returns how many appends could not be decoded.
func (f *Folder[S]) Corrupt() int { return f.corrupt }

// Skip says that the appends before first can no longer be read, which makes the state unknown.
func (f *Folder[S]) Skip(first id.Offset) {
	if first <= f.next {
		return
	}
	f.State.Lose(first)
	f.next = first
	f.seen, f.chunks = seen{}, assembler{}
}

// Append folds the payload of one append; a corrupt one is reported and skipped.
func (f *Folder[S]) Append(offset id.Offset, data []byte) []Verdict {
	if offset < f.next {
		return nil
	}
	f.Skip(offset)
	f.next = offset + 1
	f.seen.forget(offset)
	f.chunks.forget(offset)

	records, err := record.Decode(data)
	if err != nil {
		f.corrupt++
		f.report(offset, err.Error())

		return nil
	}
	verdicts := make([]Verdict, 0, len(records))
	for i, rec := range records {
		pos := id.NewPosition(offset, i)
		verdicts = append(verdicts, Verdict{ID: rec.GetId(), Position: pos, Reason: f.apply(pos, rec)})
	}

	return verdicts
}

func (f *Folder[S]) apply(pos id.Position, rec *record.Record) Reason {
	if rec.GetVersion() > record.Version {
		return f.skipVersion(pos, rec)
	}
	if rec.GetId() == "" {
		f.report(pos.Offset(), "a record has no id")

		return Malformed
	}
	if f.seen.has(rec.GetId()) {
		return Duplicate
	}
	f.seen.add(rec.GetId(), pos.Offset())
	if id.Offset(rec.GetBorn())+DedupWindow < pos.Offset() {
		return Late
	}
	if chunk, ok := rec.GetBody().(*recordpb.Record_SnapshotChunk); ok {
		return f.chunk(pos, rec, chunk.SnapshotChunk)
	}
	reason := f.State.Apply(pos, rec)
	if reason == UnknownKind {
		f.report(pos.Offset(), fmt.Sprintf("record %s is of an unknown kind", rec.GetId()))
	}

	return reason
}

// skipVersion counts a record that a newer build wrote; the log still holds it for that build.
func (f *Folder[S]) skipVersion(pos id.Position, rec *record.Record) Reason {
	if f.unknown == nil {
		f.unknown = make(map[uint32]int)
	}
	f.unknown[rec.GetVersion()]++
	f.report(pos.Offset(), fmt.Sprintf("record %s has the unknown version %d", rec.GetId(), rec.GetVersion()))

	return UnknownVersion
}

// chunk collects a part of a snapshot and restores the state once the snapshot is complete.
func (f *Folder[S]) chunk(pos id.Position, rec *record.Record, body *recordpb.SnapshotChunk) Reason {
	if rec.GetSlot() >= id.SlotCount {
		return WrongSlot
	}
	slot := id.Slot(rec.GetSlot())
	data, complete, reason := f.chunks.add(pos, body, f.State.Wants(slot))
	if !complete {
		return reason
	}
	mark := SnapshotMark{Next: id.Offset(body.GetNext()), AtMillis: body.GetAtMillis()}
	if err := f.State.Restore(slot, mark, data); err != nil {
		f.report(pos.Offset(), fmt.Sprintf("snapshot %s: %v", body.GetSnapshot(), err))

		return Malformed
	}

	return Valid
}

func (f *Folder[S]) report(offset id.Offset, problem string) {
	f.findings = append(f.findings, Finding{Offset: offset, Problem: problem})
	if len(f.findings) > maxFindings {
		f.findings = f.findings[1:]
	}
}
