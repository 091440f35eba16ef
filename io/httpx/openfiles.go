package httpx

import (
	"math"
	"syscall"
)

// OpenFileLimit returns the descriptors that this process may open: the fewer of those of the host and of the process; zero if both are
// unknown.
func OpenFileLimit(hostLimit int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return hostLimit
	}
	processLimit := int(min(limit.Cur, math.MaxInt32))
	if hostLimit <= 0 {
		return processLimit
	}

	return min(hostLimit, processLimit)
}
