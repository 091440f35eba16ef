package gatewayhost

import (
	"runtime/debug"

	"cardamomward/core/memorybudget"
	"cardamomward/io/httpx"
)

// The shares of the memory budget that others cannot take. An eighth remains for whoever needs it first, so that relayed connections
// take a quarter at most, as without a budget.
const (
	callerShare  = 1.0 / 2
	relayShare   = 1.0 / 8
	callShare    = 1.0 / 8
	storageShare = 1.0 / 8
)

// relayedConnBytes is the memory that a relayed connection takes at most.
const relayedConnBytes = 64 << 10

const (
	// responseShare is the part of the host's memory for responses without a memory budget, and maxResponseBytes the most that they take.
	responseShare    = 4
	maxResponseBytes = 32 << 20
)

// responseBytes returns the bytes for responses at a host with some memory, zero if that is unknown, and without a memory budget.
func responseBytes(memory int64) int64 {
	if memory <= 0 {
		return maxResponseBytes
	}

	return min(maxResponseBytes, memory/responseShare)
}

// newMemoryBudget returns a budget that logs the connections that it closes.
func newMemoryBudget(h *Host, limit int64) *httpx.MemoryBudget {
	memory := httpx.NewMemoryBudget(limit, h.now)
	memory.OnIdleClosed = func(remote string, bytes int64) {
		h.logger.Info("idle-caller-closed", "address", remote, "bytes", bytes)
	}

	return memory
}

// useMemoryBudget bounds what is held for callers, relayed connections and calls between hosts.
func (h *Host) useMemoryBudget(limit int64) {
	memory := newMemoryBudget(h, limit)
	for class, share := range map[memorybudget.Class]float64{
		memorybudget.Callers: callerShare, memorybudget.Relays: relayShare, memorybudget.Calls: callShare, memorybudget.Storage: storageShare,
	} {
		memory.Guarantee(class, int64(share*float64(limit)))
	}
	h.proxy.Memory, h.proxy.ResponseMemory, h.cluster.Memory = memory, memory, memory
	h.relay.Reserve = func() (func(), bool) { return memory.Hold(memorybudget.Relays, relayedConnBytes) }
}

// uncountedProcessBytes is left for memory that the runtime does not count, such as the pages of the executable and what the kernel buffers. A
// quarter of the host's memory is left if that is more, half if it is less.
const uncountedProcessBytes = 32 << 20

// LimitMemory makes the garbage collector work harder as this process nears the memory that its host allows, in bytes; zero
// means that the host states no limit.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(max(bytes/2, min(bytes/4*3, bytes-uncountedProcessBytes))) //nolint:mnd // halves and quarters
	}
}
