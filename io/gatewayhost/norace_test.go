//go:build !race

package gatewayhost_test

// memoryOverhead is 1 without the race detector.
const memoryOverhead = int64(1)
