package reverseproxy

// eventMemory accounts for the large events of a stream, which an upstream may never end: in the memory budget, or else with the bodies that
// are being read.
type eventMemory struct {
	proxy  *Proxy
	remote string
}

// Reserve reserves bytes for the caller's connection.
func (m eventMemory) Reserve(bytes int64) bool {
	if m.proxy.Memory != nil {
		return m.proxy.Memory.Reserve(m.remote, bytes)
	}
	if m.proxy.bufferedBytes.Add(bytes) > maxBufferedBytes {
		m.Release(bytes)

		return false
	}

	return true
}

// Release gives bytes back.
func (m eventMemory) Release(bytes int64) {
	if m.proxy.Memory != nil {
		m.proxy.Memory.Release(m.remote, bytes)

		return
	}
	m.proxy.bufferedBytes.Add(-bytes)
}
