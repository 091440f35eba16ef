package tokenbudget

import (
	"time"

	"cardamomward/core/id"
)

// Count is a program's token count at its owner.
type Count struct {
	// Tokens are the settled and the reserved tokens.
	Tokens id.Tokens
	// Durable is the durable watermark.
	Durable id.Tokens
}

// reportedCount is the highest count that was reported for a program.
type reportedCount struct {
	Count

	reportedAt time.Time
}

// ReportedWatermarks holds the token counts of programs that a host has received from their owners; its zero value is
// empty. A new owner asks all hosts for them, since its predecessor may have failed before its counts became durable.
type ReportedWatermarks struct{ programs map[id.Program]reportedCount }

// Report records the count of a program.
func (m *ReportedWatermarks) Report(now time.Time, program id.Program, count Count) {
	if m.programs == nil {
		m.programs = make(map[id.Program]reportedCount)
	}
	if previous, ok := m.programs[program]; ok && previous.Tokens > count.Tokens {
		count = previous.Count
	}
	m.programs[program] = reportedCount{Count: count, reportedAt: now}
}

// Recent returns the counts that were reported within maxAge.
func (m *ReportedWatermarks) Recent(now time.Time, maxAge time.Duration) map[id.Program]Count {
	recent := make(map[id.Program]Count)
	for program, r := range m.programs {
		if now.Sub(r.reportedAt) <= maxAge {
			recent[program] = r.Count
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
