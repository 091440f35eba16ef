package fold

import (
	"fmt"

	"cardamomward/core/id"
	"cardamomward/core/record"
)

// Reason says why a record is void; the empty reason means that it is valid.
type Reason string

// Reasons for which records are void.
const (
	Valid           Reason = ""
	Duplicate       Reason = "duplicate"
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
}

// dedupWindow is how many appends back a second copy of a record is recognised.
const dedupWindow = 1 << 16

// Folder feeds the appends of one stream to a state and drops second copies.
type Folder[S State] struct {
	State    S
	next     id.Offset
	started  bool
	seen     map[string]id.Offset
	expiry   []seenRecord
	findings []Finding
}

type seenRecord struct {
	id     string
	offset id.Offset
}

// maxFindings bounds the findings that a folder keeps for the dump.
const maxFindings = 100

// Next returns the offset of the first append that is not folded yet.
func (f *Folder[S]) Next() id.Offset { return f.next }

// Findings returns the latest payloads that could not be folded.
func (f *Folder[S]) Findings() []Finding { return f.findings }

// Append folds the payload of one append; a corrupt one is reported and skipped.
func (f *Folder[S]) Append(offset id.Offset, data []byte) []Verdict {
	if f.started && offset < f.next {
		return nil
	}
	f.started = true
	f.next = offset + 1
	f.forget(offset)

	records, err := record.Decode(data)
	if err != nil {
		f.report(Finding{Offset: offset, Problem: err.Error()})

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
		return UnknownVersion
	}
	if _, ok := f.seen[rec.GetId()]; ok {
		return Duplicate
	}
	if f.seen == nil {
		f.seen = make(map[string]id.Offset)
	}
	f.seen[rec.GetId()] = pos.Offset()
	f.expiry = append(f.expiry, seenRecord{id: rec.GetId(), offset: pos.Offset()})

	return f.State.Apply(pos, rec)
}

func (f *Folder[S]) forget(offset id.Offset) {
	drop := 0
	for drop < len(f.expiry) && f.expiry[drop].offset+dedupWindow < offset {
		delete(f.seen, f.expiry[drop].id)
		drop++
	}
	f.expiry = f.expiry[drop:]
}

func (f *Folder[S]) report(finding Finding) {
	f.findings = append(f.findings, finding)
	if len(f.findings) > maxFindings {
		f.findings = f.findings[1:]
	}
}
