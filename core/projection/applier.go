package projection

import (
	"fmt"

	"cardamomward/core/id"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
)

// RejectReason says why a record is rejected; the empty reason means that it is valid.
type RejectReason string

// Reasons for which records are rejected.
const (
	// Valid is the reason of a record that is not rejected.
	Valid RejectReason = ""
	// Duplicate rejects a record whose id was read before.
	Duplicate RejectReason = "duplicate"
	// Late rejects a record that was appended more than DedupWindowAppends appends after its creation.
	Late RejectReason = "late"
	// Malformed rejects a record with missing or inconsistent fields, or an append that cannot be decoded.
	Malformed RejectReason = "malformed"
	// StateUnknown marks a record that is queued until the state is restored from a snapshot.
	StateUnknown RejectReason = "state-unknown"
	// StaleEpoch rejects a record that is not from the slot's current owner and epoch.
	StaleEpoch RejectReason = "stale-epoch"
	// StaleBase rejects settings that are based on a version that is not in force.
	StaleBase RejectReason = "stale-base"
	// UnknownVersion rejects a record of a newer format version than record.MaxVersion.
	UnknownVersion RejectReason = "unknown-version"
	// UnknownKind rejects a record whose body the stream does not contain.
	UnknownKind RejectReason = "unknown-kind"
	// OutOfOrder rejects a turn or a snapshot chunk whose number is not the next one.
	OutOfOrder    RejectReason = "out-of-order"
	NoSuchProgram RejectReason = "no-such-program"
	ProgramExists RejectReason = "program-exists"
	// ProgramNotOpen rejects a record for a program, or below a parent, that is not open.
	ProgramNotOpen RejectReason = "program-not-open"
	// IntentExists rejects a second intent with the same idempotency key.
	IntentExists RejectReason = "intent-exists"
	// NoSuchIntent rejects an outcome whose intent does not exist or has another position.
	NoSuchIntent  RejectReason = "no-such-intent"
	OutcomeExists RejectReason = "outcome-exists"
	// WrongSlot rejects a record whose program or call hashes to another slot.
	WrongSlot RejectReason = "wrong-slot"
	// NotOwner rejects a claim or release that is not valid for any of its slots.
	NotOwner  RejectReason = "not-owner"
	KeyExists RejectReason = "key-exists"
	NoSuchKey RejectReason = "no-such-key"
	// AlreadyReserved rejects a reservation of a reserved upstream, or beyond the maximum of its service.
	AlreadyReserved   RejectReason = "already-reserved"
	NoSuchReservation RejectReason = "no-such-reservation"
	// AlreadyIncluded rejects a crash that was reported before.
	AlreadyIncluded RejectReason = "already-included"
)

// ApplyResult is the result of applying one record.
type ApplyResult struct {
	// ID and Position are those of the record.
	ID       string
	Position id.Position
	Reason   RejectReason
}

// Valid reports whether the record was accepted.
func (r ApplyResult) Valid() bool { return r.Reason == Valid }

// Finding is a problem with the payload of an append, or with a record in it, that the operator should see.
type Finding struct {
	Offset  id.Offset
	Problem string
}

func (f Finding) String() string {
	return fmt.Sprintf("offset %d: %s", f.Offset, f.Problem)
}

// State is the state that the records of one stream build up.
type State interface {
	// Apply applies one record, or returns why it is rejected.
	Apply(pos id.Position, rec *record.Record) RejectReason
	// Invalidate marks all state as unknown, because the records before first were not read.
	Invalidate(first id.Offset)
	// NeedsSnapshot reports whether the state of a slot is unknown and has to be restored from a snapshot.
	NeedsSnapshot(slot id.Slot) bool
	// Restore loads a complete snapshot; data is nil if the state did not need it when its first chunk arrived.
	Restore(slot id.Slot, meta SnapshotMeta, data []byte) error
	// Ready reports whether the state can be queried.
	Ready() bool
}

// Retention windows as numbers of appends to the stream, so that all hosts drop state at the same record.
const (
	// DedupWindowAppends is the number of appends after its creation within which a record is accepted. The ids of records
	// are remembered for as many appends, so that no duplicate is accepted.
	DedupWindowAppends = 1 << 14
	// EndedProgramWindowAppends is the retention of a program after its end.
	EndedProgramWindowAppends = 1 << 18
	// CallWindowAppends is the retention of a call and its idempotency key after its intent.
	CallWindowAppends = 1 << 22
	// CrashWindowAppends is the retention of the crashes of a request after the latest one.
	CrashWindowAppends = 1 << 17
)

// Applier decodes the appends of one stream, drops duplicate records and applies the others to a state.
type Applier[S State] struct {
	State           S
	nextOffset      id.Offset
	recentRecordIDs recentIDs
	chunks          chunkAssembler
	findings        []Finding
	unknownVersions map[uint32]int
	corruptAppends  int
}

// maxFindings bounds the findings that an applier keeps for the operator's dump.
const maxFindings = 100

// NextOffset returns the offset of the first append that is not applied yet.
func (a *Applier[S]) NextOffset() id.Offset { return a.nextOffset }

// Findings returns a limited number of the latest problems, oldest first.
func (a *Applier[S]) Findings() []Finding { return a.findings }

// UnknownVersions returns how many records of each newer format version were skipped.
func (a *Applier[S]) UnknownVersions() map[uint32]int { return a.unknownVersions }

// CorruptAppends returns how many appends could not be decoded.
func (a *Applier[S]) CorruptAppends() int { return a.corruptAppends }

// SkipTo records that the appends before first can no longer be read, which invalidates the state.
func (a *Applier[S]) SkipTo(first id.Offset) {
	if first <= a.nextOffset {
		return
	}
	a.State.Invalidate(first)
	a.nextOffset = first
	a.recentRecordIDs, a.chunks = recentIDs{}, chunkAssembler{}
}

// ApplyAppend applies the payload of one append and returns the result of each record. It ignores an append that was applied
// before, and skips a corrupt one with a finding.
func (a *Applier[S]) ApplyAppend(offset id.Offset, data []byte) []ApplyResult {
	if offset < a.nextOffset {
		return nil
	}
	a.SkipTo(offset)
	a.nextOffset = offset + 1
	a.recentRecordIDs.dropExpired(offset)
	a.chunks.dropExpired(offset)

	records, err := record.Decode(data)
	if err != nil {
		a.corruptAppends++
		a.addFinding(offset, err.Error())

		return nil
	}
	results := make([]ApplyResult, 0, len(records))
	for i, rec := range records {
		pos := id.NewPosition(offset, i)
		results = append(results, ApplyResult{ID: rec.GetId(), Position: pos, Reason: a.apply(pos, rec)})
	}

	return results
}

func (a *Applier[S]) apply(pos id.Position, rec *record.Record) RejectReason {
	if rec.GetVersion() > record.MaxVersion {
		return a.skipNewerVersion(pos, rec)
	}
	if rec.GetId() == "" {
		a.addFinding(pos.Offset(), "a record has no id")

		return Malformed
	}
	if a.recentRecordIDs.contains(rec.GetId()) {
		return Duplicate
	}
	a.recentRecordIDs.add(rec.GetId(), pos.Offset())
	if id.Offset(rec.GetBorn())+DedupWindowAppends < pos.Offset() {
		return Late
	}
	if chunk, ok := rec.GetBody().(*recordpb.Record_SnapshotChunk); ok {
		return a.applySnapshotChunk(pos, rec, chunk.SnapshotChunk)
	}
	reason := a.State.Apply(pos, rec)
	if reason == UnknownKind {
		a.addFinding(pos.Offset(), fmt.Sprintf("record %s is of an unknown kind", rec.GetId()))
	}

	return reason
}

// skipNewerVersion counts and skips a record that a newer build wrote; the log keeps it for hosts of that build.
func (a *Applier[S]) skipNewerVersion(pos id.Position, rec *record.Record) RejectReason {
	if a.unknownVersions == nil {
		a.unknownVersions = make(map[uint32]int)
	}
	a.unknownVersions[rec.GetVersion()]++
	a.addFinding(pos.Offset(), fmt.Sprintf("record %s has the unknown version %d", rec.GetId(), rec.GetVersion()))

	return UnknownVersion
}

// applySnapshotChunk collects a chunk of a snapshot and restores the state once the snapshot is complete.
func (a *Applier[S]) applySnapshotChunk(pos id.Position, rec *record.Record, body *recordpb.SnapshotChunk) RejectReason {
	if rec.GetSlot() >= id.SlotCount {
		return WrongSlot
	}
	slot := id.Slot(rec.GetSlot())
	data, complete, reason := a.chunks.add(pos, body, a.State.NeedsSnapshot(slot))
	if !complete {
		return reason
	}
	meta := SnapshotMeta{NextOffset: id.Offset(body.GetNext()), WrittenUnixMillis: body.GetAtMillis()}
	if err := a.State.Restore(slot, meta, data); err != nil {
		a.addFinding(pos.Offset(), fmt.Sprintf("snapshot %s: %v", body.GetSnapshot(), err))

		return Malformed
	}

	return Valid
}

func (a *Applier[S]) addFinding(offset id.Offset, problem string) {
	a.findings = append(a.findings, Finding{Offset: offset, Problem: problem})
	if len(a.findings) > maxFindings {
		a.findings = a.findings[1:]
	}
}
