package upstreamclient

import "io"

// writeOutcome is the outcome of the write of a request, which may go on while the response is read.
type writeOutcome struct {
	// known is closed once the write has ended with err.
	known chan struct{}
	err   error
}

func newWriteOutcome() writeOutcome { return writeOutcome{known: make(chan struct{})} }

// set ends the write; it is called once.
func (o *writeOutcome) set(err error) {
	o.err = err
	close(o.known)
}

// await returns the error of the write once it has ended.
func (o *writeOutcome) await() error {
	<-o.known

	return o.err
}

// isKnown reports whether the write has ended.
func (o *writeOutcome) isKnown() bool {
	select {
	case <-o.known:
		return true
	default:
		return false
	}
}

// hasSucceeded reports whether the whole request was written.
func (o *writeOutcome) hasSucceeded() bool { return o.isKnown() && o.err == nil }

// connectionBody is a body that ends with its connection. The kernel reports a reset once: if the writer of the request gets it, the reader
// gets the end of the connection, as if the upstream had closed it.
type connectionBody struct {
	inner io.Reader
	write *writeOutcome
}

// Read returns io.EOF only if the whole request was written, and waits for that as long as the connection's deadline allows.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.write.await(); writeErr != nil {
		return n, ErrResponseLost.Wrap(writeErr, "the connection ended before the request was written")
	}

	return n, err
}
