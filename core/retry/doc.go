// Package retry decides whether and when a failed call is sent again: a budget as a part of the successes,
// full jitter, and no retry past the deadline.
package retry
