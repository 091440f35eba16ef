package tokenbudget

import (
	"time"

	"cardamomward/core/id"
)

// reportedCount is the highest number of tokens that was reported for a program.
type reportedCount struct {
	tokens     id.Tokens
	reportedAt time.Time
}

// ReportedWatermarks holds the token counts of programs that a host has received from their owners; its zero value is
// empty. A new owner asks all hosts for them, since its predecessor may have failed before its counts became durable.
type ReportedWatermarks struct{ programs map[id.Program]reportedCount }

// Report records that a program has used at least the given tokens.
func (m *ReportedWatermarks) Report(now time.Time, program id.Program, tokens id.Tokens) {
	if m.programs == nil {
		m.programs = make(map[id.Program]reportedCount)
	}
	m.programs[program] = reportedCount{tokens: max(tokens, m.programs[program].tokens), reportedAt: now}
}

// Recent returns the counts that were reported within maxAge.
func (m *ReportedWatermarks) Recent(now time.Time, maxAge time.Duration) map[id.Program]id.Tokens {
	recent := make(map[id.Program]id.Tokens)
	for program, r := range m.programs {
		if now.Sub(r.reportedAt) <= maxAge {
			recent[program] = r.tokens
		}
	}

	return recent
}

// RemoveOlderThan removes counts that were last reported more than maxAge ago.
func (m *ReportedWatermarks) RemoveOlderThan(now time.Time, maxAge time.Duration) {
	for program, r := range m.programs {
		if now.Sub(r.reportedAt) > maxAge {
			delete(m.programs, program)
		}
	}
}
