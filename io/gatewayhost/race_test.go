//go:build race

package gatewayhost_test

// memoryOverhead is how much more memory the race detector takes.
const memoryOverhead = int64(10)
