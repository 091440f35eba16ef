package gatewayhost

import "runtime/debug"

// LimitMemory makes the garbage collector work harder as this process nears the memory that its host allows, in bytes; zero
// means that the host states no limit.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		// A quarter is left for memory that the runtime does not count, such as what the kernel buffers.
		debug.SetMemoryLimit(bytes / 4 * 3)
	}
}
