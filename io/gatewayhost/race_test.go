//go:build race

package gatewayhost_test

// memoryOverhead is the factor by which the race detector increases the memory.
const memoryOverhead = int64(10)
