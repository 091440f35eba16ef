package streamorigin

import "time"

// maxEvidenceAge is the age beyond which what showed the process of an upstream does not count any more: a host may have been frozen
// meanwhile, and the upstream restarted. Connections take up to 0.9 s to open.
const maxEvidenceAge = time.Second

// ReportKind says what came of a call for an upstream's report.
type ReportKind int

// Values of ReportKind.
const (
	// ReportMissing means that there was no response in time, an error, or a report that does not name the start of the process.
	ReportMissing ReportKind = iota
	// ReportUnsupported means that the upstream has no report.
	ReportUnsupported
	// ReportReceived means that the report names the start of the process.
	ReportReceived
)

// Report is an upstream's statement about its process.
type Report struct {
	Kind ReportKind
	// Incarnation is the start of the process, if the report was received.
	Incarnation int64
	// RequestedAt is the time of the request for the report.
	RequestedAt time.Time
}

// ProcessState says which process of an upstream serves.
type ProcessState int

// Values of ProcessState.
const (
	// ProcessUnknown means that the upstream did not say so in time.
	ProcessUnknown ProcessState = iota
	// ProcessUnreported means that the upstream has no report.
	ProcessUnreported
	// ProcessRestarted means that it is another process than the expected one, and its version is not known.
	ProcessRestarted
	// ProcessExpected means that it is the expected process.
	ProcessExpected
)

// String returns the name in logs.
func (s ProcessState) String() string {
	return [...]string{"unknown", "unreported", "restarted", "expected"}[s]
}

// Evaluate returns which process serves by a report, compared with the incarnation that is expected.
func (r Report) Evaluate(now time.Time, incarnation int64) ProcessState {
	switch {
	case IsOutdated(now, r.RequestedAt) || r.Kind == ReportMissing:
		return ProcessUnknown
	case r.Kind == ReportUnsupported:
		return ProcessUnreported
	case r.Incarnation != incarnation:
		return ProcessRestarted
	default:
		return ProcessExpected
	}
}

// IsOutdated reports whether what was observed at a time does not show any more which process of an upstream serves.
func IsOutdated(now, observedAt time.Time) bool { return now.Sub(observedAt) > maxEvidenceAge }

// Decision says what becomes of a resumption.
type Decision int

// Values of Decision.
const (
	// Refuse means that the version that began the stream is not certain yet.
	Refuse Decision = iota
	// TryNext means that the version of the candidate is not certain.
	TryNext
	// Continue means that the candidate may continue the stream.
	Continue
)

// String returns the name in logs.
func (d Decision) String() string { return [...]string{"refuse", "try-next", "continue"}[d] }

// Evidence holds the facts that decide whether a stream may be resumed at a candidate that is registered with the stream's version.
type Evidence struct {
	// Candidate is the process of the candidate compared with its registration, and Origin that of the upstream where the stream
	// began compared with the recorded one.
	Candidate, Origin ProcessState
	// IsCandidateRead is set if the candidate's registration was read after the resumption arrived.
	IsCandidateRead bool
	// IsOriginConfirmed is set if the stream is known to have begun at the recorded process.
	IsOriginConfirmed bool
	// HasSoleVersion is set if no other version of the service is known.
	HasSoleVersion bool
}

// Decide returns whether the candidate may continue the stream. Upstreams without a report are trusted where no other version is
// known; if the candidate has none, that of the origin is not missing because its process has ended.
func (e Evidence) Decide() Decision {
	isTrusted := e.Candidate == ProcessUnreported && e.HasSoleVersion
	isCandidate := e.Candidate == ProcessExpected || e.IsCandidateRead && e.Candidate != ProcessRestarted || isTrusted
	if !isCandidate {
		return TryNext
	}
	if e.IsOriginConfirmed || e.Origin == ProcessExpected {
		return Continue
	}
	if e.HasSoleVersion && (e.Origin == ProcessUnreported || isTrusted && e.Origin == ProcessUnknown) {
		return Continue
	}

	return Refuse
}
