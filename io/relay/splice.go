package relay

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// splice copies bytes in both directions until both have ended. The end of the upstream's bytes is passed on as it is: a reset as a
// reset, so that a response that it breaks off does not look complete. Hosts of earlier releases get the upstream's bytes without frames.
func splice(caller, upstream end, isFramed bool, isEvacuated func() bool) {
	done := make(chan struct{})
	requests := &requestWriter{upstream: upstream, isEvacuated: isEvacuated}
	requests.answered.Store(true)
	go func() {
		defer close(done)
		copyBytes(requests, countingReader{caller}) //nolint:errcheck // any end is the caller's
		// The caller never closes only its sending direction: it has canceled its request.
		upstream.Close()
	}()
	responses := &responseReader{upstream: countingReader{upstream}, requests: requests}
	var err error
	if isFramed {
		err = copyFrames(countingWriter{caller}, responses)
	} else {
		err = copyBytes(countingWriter{caller}, responses)
	}
	// Frames without the last one show by themselves that the upstream broke off, and a reset could overtake them.
	if err == nil || (isFramed && errors.Is(err, errRequestCut)) {
		closeWrite(caller.Conn)
	} else {
		reset(caller.Conn)
	}
	<-done
}

var (
	// errEvacuated ends a connection whose caller sends a request after its upstream's domain has been evacuated.
	errEvacuated = errors.New("the failure domain of the upstream is evacuated")
	// errRequestCut ends a connection whose upstream did not take the whole request.
	errRequestCut = errors.New("the upstream ended the connection during the request")
)

// lateWriteTimeout bounds each write to an upstream that has ended its response.
const lateWriteTimeout = 5 * time.Second

// requestWriter passes on the caller's bytes. Bytes that follow those of a response are the next request's: requests are not
// pipelined. None is begun once the domain is evacuated.
type requestWriter struct {
	upstream    end
	isEvacuated func() bool
	// answered is set unless bytes of a request have passed since the last bytes of a response, and ended once the upstream has ended its
	// bytes.
	answered, ended atomic.Bool

	// writing is held while bytes are written, and protects hasFailed, which is set once the upstream did not take them.
	writing   sync.Mutex
	hasFailed bool
}

func (w *requestWriter) Write(data []byte) (int, error) {
	if w.answered.Load() && w.isEvacuated() {
		return 0, errEvacuated
	}
	w.answered.Store(false)
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.ended.Load() {
		w.limitWrite()
	}
	n, err := countingWriter{w.upstream}.Write(data)
	w.hasFailed = w.hasFailed || err != nil

	return n, err
}

// limitWrite bounds the write that is in progress or follows.
func (w *requestWriter) limitWrite() {
	w.upstream.SetWriteDeadline(time.Now().Add(lateWriteTimeout)) //nolint:errcheck // a connection that is closed fails anyway
}

// awaitFailure reports whether a write has failed, once the one in progress has ended.
func (w *requestWriter) awaitFailure() bool {
	w.writing.Lock()
	defer w.writing.Unlock()

	return w.hasFailed
}

// responseReader reads the upstream's bytes.
type responseReader struct {
	upstream io.Reader
	requests *requestWriter
}

// Read returns io.EOF only if the upstream has taken the caller's bytes so far. The kernel reports a reset once: if the writer gets it, the
// reader gets the end of the connection, as if the upstream had closed it.
func (r *responseReader) Read(buf []byte) (int, error) {
	n, err := r.upstream.Read(buf)
	if n > 0 {
		r.requests.answered.Store(true)
	}
	if err == io.EOF {
		r.requests.ended.Store(true)
		r.requests.limitWrite()
		if r.requests.awaitFailure() {
			return n, errRequestCut
		}
	}

	return n, err
}
