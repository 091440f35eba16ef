package intake

// ConnLimits are the most open connections of the ports of a host.
type ConnLimits struct {
	Callers, Peers, Directory, Readiness, Metrics int
	// Relayed are the connections that are relayed for other hosts, and Relay those whose request to be relayed is awaited.
	Relayed, Relay int
}

// The shares of a host's descriptors. What is left is for connections to upstreams, peers and the store, and for files.
const (
	callerFileShare    = 1.0 / 4
	peerFileShare      = 1.0 / 8
	directoryFileShare = 1.0 / 16
	readinessFileShare = 1.0 / 32
	metricsFileShare   = 1.0 / 32
	relayFileShare     = 1.0 / 32
	// relayedFileShare is for two descriptors of each relayed connection.
	relayedFileShare = 1.0 / 4
)

const (
	// bytesShare is the share of a host's memory for requests that arrive and for those that are handled, and connShare that for idle
	// connections of callers, each of which takes connBytes.
	bytesShare = 1.0 / 8
	connShare  = 1.0 / 8
	connBytes  = 8 << 10
	// relayedConnBytes is the memory that a relayed connection takes at most, and relayedShare the share of the host's memory for all
	// of them.
	relayedConnBytes = 64 << 10
	relayedShare     = 1.0 / 4
	// minBytes is for one large request with its buffer as it grows.
	minBytes = 8 << 20
	// defaultBytes is for requests at a host that does not state its memory.
	defaultBytes = 64 << 20
)

// Bytes returns the bytes for requests at a host with some memory, zero if that is unknown.
func Bytes(memory int64) int64 {
	if memory <= 0 {
		return defaultBytes
	}

	return max(minBytes, int64(bytesShare*float64(memory)))
}

// LimitConns returns the limits of a host with some descriptors and bytes of memory, zero if they are unknown.
func LimitConns(files int, memory int64) ConnLimits {
	limits := ConnLimits{Callers: 4096, Peers: 2048, Directory: 1024, Readiness: 256, Metrics: 256, Relayed: 512, Relay: 256}
	if memory > 0 {
		limits.Callers = min(limits.Callers, int(connShare*float64(memory))/connBytes)
		limits.Relayed = min(limits.Relayed, int(relayedShare*float64(memory))/relayedConnBytes)
	}
	if files > 0 {
		apply := func(limit *int, share float64) { *limit = max(1, min(*limit, int(share*float64(files)))) }
		apply(&limits.Callers, callerFileShare)
		apply(&limits.Peers, peerFileShare)
		apply(&limits.Directory, directoryFileShare)
		apply(&limits.Readiness, readinessFileShare)
		apply(&limits.Metrics, metricsFileShare)
		apply(&limits.Relay, relayFileShare)
		apply(&limits.Relayed, relayedFileShare/2)
	}

	return limits
}
