package relay

import (
	"errors"
	"io"
	"sync/atomic"

	"cardamomward/io/tcp"
)

// splice copies bytes in both directions until both have ended. The end of the upstream's bytes is passed on as it is: a reset as a
// reset, so that a response that it breaks off does not look complete. Hosts of earlier releases get the upstream's bytes without frames.
func splice(caller, upstream end, isFramed bool, isEvacuated func() bool) {
	done := make(chan struct{})
	var answered atomic.Bool
	answered.Store(true)
	go func() {
		defer close(done)
		copyBytes(&requestWriter{countingWriter{upstream}, &answered, isEvacuated}, countingReader{caller}) //nolint:errcheck // any end is the caller's
		// The caller never closes only its sending direction: it has canceled its request.
		upstream.Close()
	}()
	responses := &responseReader{countingReader{upstream}, &answered}
	var err error
	if isFramed {
		err = copyFrames(countingWriter{caller}, responses)
	} else {
		err = copyBytes(countingWriter{caller}, responses)
	}
	// Frames without the last one show by themselves that the upstream broke off, and a reset could overtake them.
	if err == nil || (isFramed && errors.Is(err, tcp.ErrReset)) {
		closeWrite(caller.Conn)
	} else {
		reset(caller.Conn)
	}
	<-done
}

// errEvacuated ends a connection whose caller sends a request after its upstream's domain has been evacuated.
var errEvacuated = errors.New("the failure domain of the upstream is evacuated")

// requestWriter passes on the caller's bytes. Bytes that follow those of a response are the next request's: requests are not
// pipelined. None is begun once the domain is evacuated.
type requestWriter struct {
	io.Writer

	// answered is set unless bytes of a request have passed since the last bytes of a response.
	answered    *atomic.Bool
	isEvacuated func() bool
}

func (w *requestWriter) Write(data []byte) (int, error) {
	if w.answered.Load() && w.isEvacuated() {
		return 0, errEvacuated
	}
	w.answered.Store(false)

	return w.Writer.Write(data)
}

// responseReader reads the upstream's bytes.
type responseReader struct {
	io.Reader

	answered *atomic.Bool
}

func (r *responseReader) Read(buf []byte) (int, error) {
	n, err := r.Reader.Read(buf)
	if n > 0 {
		r.answered.Store(true)
	}

	return n, err
}
