package projection

import (
	"fmt"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// RejectReason says why a record is void; the empty reason means that it is valid.
type RejectReason string

// Reasons for which records are void.
const (
	Valid             RejectReason = ""
	Duplicate         RejectReason = "duplicate"
	Late              RejectReason = "late"
	Malformed         RejectReason = "malformed"
	StateUnknown      RejectReason = "state-unknown"
	StaleEpoch        RejectReason = "stale-epoch"
	StaleBase         RejectReason = "stale-base"
	UnknownVersion    RejectReason = "unknown-version"
	UnknownKind       RejectReason = "unknown-kind"
	OutOfOrder        RejectReason = "out-of-order"
	NoSuchProgram     RejectReason = "no-such-program"
	ProgramExists     RejectReason = "program-exists"
	ProgramNotOpen    RejectReason = "program-not-open"
	IntentExists      RejectReason = "intent-exists"
	NoSuchIntent      RejectReason = "no-such-intent"
	OutcomeExists     RejectReason = "outcome-exists"
	WrongSlot         RejectReason = "wrong-slot"
	NotOwner          RejectReason = "not-owner"
	KeyExists         RejectReason = "key-exists"
	NoSuchKey         RejectReason = "no-such-key"
	AlreadyReserved   RejectReason = "already-reserved"
	NoSuchReservation RejectReason = "no-such-reservation"
	AlreadyIncluded   RejectReason = "already-included"
)

// ApplyResult is the outcome of folding one record.
type ApplyResult struct {
	ID       string
	Position id.Position
	Reason   RejectReason
}

// Valid reports whether the record counts.
func (v ApplyResult) Valid() bool { return v.Reason == Valid }

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
	Apply(pos id.Position, rec *record.Record) RejectReason
	// Invalidate marks all state as unknown: the records before first were not read.
	Invalidate(first id.Offset)
	// NeedsSnapshot reports whether the state of a slot is unknown, so that a snapshot of it is needed.
	NeedsSnapshot(slot id.Slot) bool
	// Restore takes over a complete snapshot; its data is nil where the state did not want it.
	Restore(slot id.Slot, mark SnapshotMeta, data []byte) error
	// Ready reports whether the state can be used at all.
	Ready() bool
}

// Windows, in appends, after which the fold forgets.
const (
	// DedupWindowAppends is how far behind its birth a record may be appended, so also how long its id is remembered.
	DedupWindowAppends = 1 << 14
	// EndedProgramWindowAppends is how long a program is kept after its end.
	EndedProgramWindowAppends = 1 << 18
	// CallWindowAppends is how long the key of a call that must not be repeated is kept after its intent.
	CallWindowAppends = 1 << 22
	// CrashWindowAppends is how long the crashes of a request are kept after the latest.
	CrashWindowAppends = 1 << 17
)

// Applier feeds the appends of one stream to a state and drops second copies.
type Applier[S State] struct {
	State           S
	nextOffset      id.Offset
	recentRecords   recentIDs
	chunks          chunkAssembler
	findings        []Finding
	unknownVersions map[uint32]int
	corruptAppends  int
}

// maxFindings bounds the findings that a folder keeps for the dump.
const maxFindings = 100

// NextOffset returns the offset of the first append that is not folded yet.
func (f *Applier[S]) NextOffset() id.Offset { return f.nextOffset }

// Findings returns the latest payloads that could not be folded.
func (f *Applier[S]) Findings() []Finding { return f.findings }

// UnknownVersions returns how many records of each newer version were skipped.
func (f *Applier[S]) UnknownVersions() map[uint32]int { return f.unknownVersions }

// CorruptAppends returns how many appends could not be decoded.
func (f *Applier[S]) CorruptAppends() int { return f.corruptAppends }

// SkipTo says that the appends before first can no longer be read, which makes the state unknown.
func (f *Applier[S]) SkipTo(first id.Offset) {
	if first <= f.nextOffset {
		return
	}
	f.State.Invalidate(first)
	f.nextOffset = first
	f.recentRecords, f.chunks = recentIDs{}, chunkAssembler{}
}

// ApplyAppend folds the payload of one append; a corrupt one is reported and skipped.
func (f *Applier[S]) ApplyAppend(offset id.Offset, data []byte) []ApplyResult {
	if offset < f.nextOffset {
		return nil
	}
	f.SkipTo(offset)
	f.nextOffset = offset + 1
	f.recentRecords.dropExpired(offset)
	f.chunks.dropExpired(offset)

	records, err := record.Decode(data)
	if err != nil {
		f.corruptAppends++
		f.addFinding(offset, err.Error())

		return nil
	}
	verdicts := make([]ApplyResult, 0, len(records))
	for i, rec := range records {
		pos := id.NewPosition(offset, i)
		verdicts = append(verdicts, ApplyResult{ID: rec.GetId(), Position: pos, Reason: f.apply(pos, rec)})
	}

	return verdicts
}

func (f *Applier[S]) apply(pos id.Position, rec *record.Record) RejectReason {
	if rec.GetVersion() > record.MaxVersion {
		return f.skipNewerVersion(pos, rec)
	}
	if rec.GetId() == "" {
		f.addFinding(pos.Offset(), "a record has no id")

		return Malformed
	}
	if f.recentRecords.has(rec.GetId()) {
		return Duplicate
	}
	f.recentRecords.add(rec.GetId(), pos.Offset())
	if id.Offset(rec.GetBorn())+DedupWindowAppends < pos.Offset() {
		return Late
	}
	if chunk, ok := rec.GetBody().(*recordpb.Record_SnapshotChunk); ok {
		return f.applySnapshotChunk(pos, rec, chunk.SnapshotChunk)
	}
	reason := f.State.Apply(pos, rec)
	if reason == UnknownKind {
		f.addFinding(pos.Offset(), fmt.Sprintf("record %s is of an unknown kind", rec.GetId()))
	}

	return reason
}

// skipNewerVersion counts a record that a newer build wrote; the log still holds it for that build.
func (f *Applier[S]) skipNewerVersion(pos id.Position, rec *record.Record) RejectReason {
	if f.unknownVersions == nil {
		f.unknownVersions = make(map[uint32]int)
	}
	f.unknownVersions[rec.GetVersion()]++
	f.addFinding(pos.Offset(), fmt.Sprintf("record %s has the unknown version %d", rec.GetId(), rec.GetVersion()))

	return UnknownVersion
}

// applySnapshotChunk collects a part of a snapshot and restores the state once the snapshot is complete.
func (f *Applier[S]) applySnapshotChunk(pos id.Position, rec *record.Record, body *recordpb.SnapshotChunk) RejectReason {
	if rec.GetSlot() >= id.SlotCount {
		return WrongSlot
	}
	slot := id.Slot(rec.GetSlot())
	data, complete, reason := f.chunks.add(pos, body, f.State.NeedsSnapshot(slot))
	if !complete {
		return reason
	}
	mark := SnapshotMeta{NextOffset: id.Offset(body.GetNext()), WrittenUnixMillis: body.GetAtMillis()}
	if err := f.State.Restore(slot, mark, data); err != nil {
		f.addFinding(pos.Offset(), fmt.Sprintf("snapshot %s: %v", body.GetSnapshot(), err))

		return Malformed
	}

	return Valid
}

func (f *Applier[S]) addFinding(offset id.Offset, problem string) {
	f.findings = append(f.findings, Finding{Offset: offset, Problem: problem})
	if len(f.findings) > maxFindings {
		f.findings = f.findings[1:]
	}
}
