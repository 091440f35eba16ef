// Package retrybudget implements a retry budget that is a fraction of the successful calls, and exponential backoff with
// full jitter that never waits past the deadline of the call.
package retrybudget
