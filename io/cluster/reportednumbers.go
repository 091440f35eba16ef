package cluster

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// maxReportedAge bounds an age in a message of a peer, so that it can be converted to a duration.
	maxReportedAge = 24 * time.Hour
	// maxReportedRate and maxReportedTokens bound numbers in messages of peers, so that sums of them do not overflow.
	maxReportedRate   = 1e9
	maxReportedTokens = 1 << 40
)

// reportedTime returns the time that a peer reports by its age. A negative age counts as zero: a time in the future would take
// precedence over all that happens until then.
func reportedTime(now time.Time, ageMillis int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMillis), maxReportedAge.Milliseconds())) * time.Millisecond)
}

// reportedRate returns the rate that a peer reports within its bounds; it is zero if the peer reports no number.
func reportedRate(rate float64) float64 {
	if math.IsNaN(rate) {
		return 0
	}

	return min(max(0, rate), maxReportedRate)
}

// reportedTokens returns the tokens that a peer reports within their bounds.
func reportedTokens(tokens int64) id.Tokens { return id.Tokens(min(max(0, tokens), maxReportedTokens)) }
