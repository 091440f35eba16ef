package reverseproxy

const (
	// eventShare is the part of the memory for responses that large events may take, so that others find memory while upstreams do not end
	// theirs, and maxEventBytes the most that they take.
	eventShare    = 4
	maxEventBytes = 16 << 20
)

// eventMemory accounts for the large events of a stream, which an upstream may never end: in the memory for responses, and all together.
type eventMemory struct {
	proxy  *Proxy
	remote string
}

// Reserve reserves bytes for the caller's connection.
func (m eventMemory) Reserve(bytes int64) bool {
	if m.proxy.largeEventBytes.Add(bytes) > m.proxy.eventLimit() || !m.proxy.responseMemory().Reserve(m.remote, bytes) {
		m.proxy.largeEventBytes.Add(-bytes)

		return false
	}

	return true
}

// Release gives bytes back.
func (m eventMemory) Release(bytes int64) {
	m.proxy.responseMemory().Release(m.remote, bytes)
	m.proxy.largeEventBytes.Add(-bytes)
}

// eventLimit returns the most bytes of large events of all streams.
func (p *Proxy) eventLimit() int64 {
	if _, budget, _ := p.responseMemory().Usage(); budget > 0 {
		return min(maxEventBytes, budget/eventShare)
	}

	return maxEventBytes
}
