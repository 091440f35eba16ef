package reverseproxy

// eventShare is the part of the memory budget that large events may take, so that others find memory while upstreams do not end theirs.
const eventShare = 4

// eventMemory accounts for the large events of a stream, which an upstream may never end: in the memory budget, and all together.
type eventMemory struct {
	proxy  *Proxy
	remote string
}

// Reserve reserves bytes for the caller's connection.
func (m eventMemory) Reserve(bytes int64) bool {
	if m.proxy.bufferedBytes.Add(bytes) > m.proxy.maxEventBytes() || !m.proxy.Memory.Reserve(m.remote, bytes) {
		m.proxy.bufferedBytes.Add(-bytes)

		return false
	}

	return true
}

// Release gives bytes back.
func (m eventMemory) Release(bytes int64) {
	m.proxy.Memory.Release(m.remote, bytes)
	m.proxy.bufferedBytes.Add(-bytes)
}

// maxEventBytes returns the most bytes of large events of all streams.
func (p *Proxy) maxEventBytes() int64 {
	if _, budget, _ := p.Memory.Usage(); budget > 0 {
		return min(maxBufferedBytes, budget/eventShare)
	}

	return maxBufferedBytes
}
