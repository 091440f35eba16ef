package upstreamreport

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/streamorigin"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

const (
	// maxTimeout bounds a request for a report.
	maxTimeout = 150 * time.Millisecond
	// timeoutShare is the fraction of the caller's remaining time that a request for a report may take, so that other candidates
	// can be tried.
	timeoutShare = 0.1
	// sharingInterval is the time from its request on in which a report serves further resumptions.
	sharingInterval = 100 * time.Millisecond
	// requestID is the id within this host of requests for reports; it is not sent.
	requestID = "report"
)

// call is a request for a report; done is closed once the report is set.
type call struct {
	requestedAt time.Time
	done        chan struct{}
	report      streamorigin.Report
}

// Reader requests reports; one response serves all resumptions of the same moment.
type Reader struct {
	Client *upstreamclient.Client
	Now    func() time.Time

	mu    sync.Mutex
	calls map[string]*call
}

// Read returns the report of the upstream at an address; it is streamorigin.ReportMissing if the upstream does not respond within a
// fraction of the time that the caller has left.
func (r *Reader) Read(ctx context.Context, address string, timeLeft time.Duration) streamorigin.Report {
	timeout := min(maxTimeout, time.Duration(timeoutShare*float64(timeLeft)))
	if timeout <= 0 {
		return streamorigin.Report{}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	current := r.join(ctx, address)
	select {
	case <-current.done:
		return current.report
	case <-ctx.Done():
		return streamorigin.Report{Kind: streamorigin.ReportMissing, RequestedAt: current.requestedAt}
	}
}

// join returns the call of the same moment to the address, or starts one.
func (r *Reader) join(ctx context.Context, address string) *call {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, earlier := range r.calls {
		if now.Sub(earlier.requestedAt) >= sharingInterval {
			delete(r.calls, other)
		}
	}
	if shared, ok := r.calls[address]; ok {
		return shared
	}
	if r.calls == nil {
		r.calls = make(map[string]*call)
	}
	started := &call{requestedAt: now, done: make(chan struct{})}
	r.calls[address] = started
	// The call goes on if the caller that started it leaves, since others may wait for it.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxTimeout)
	go func() {
		defer cancel()
		defer close(started.done)
		started.report = r.request(callCtx, address, now)
	}()

	return started
}

// request requests the report of the upstream at an address now.
func (r *Reader) request(ctx context.Context, address string, now time.Time) streamorigin.Report {
	report := streamorigin.Report{Kind: streamorigin.ReportMissing, RequestedAt: now}
	exchange, err := r.Client.Send(ctx, now, upstreamclient.Request{
		Address: address, Method: http.MethodGet, Head: platform.AppendReportRequestHead(nil, address), Deadline: now.Add(maxTimeout),
		// Reports name no request; a response that does is a late one to another.
		ID: requestID, ResponseID: func(status int, header http.Header) string {
			return cmp.Or(platform.DecodeResponseHead(status, header).RequestID, requestID)
		},
	})
	if err != nil {
		return report
	}
	body, err := io.ReadAll(io.LimitReader(exchange.Body, platform.MaxReportBytes))
	if err != nil || len(body) == platform.MaxReportBytes {
		exchange.Abort()

		return report
	}
	exchange.Finish(r.Now())
	incarnation, err := platform.DecodeReport(exchange.Status, body)
	switch {
	case errorx.IsOfType(err, platform.ErrNoReport):
		report.Kind = streamorigin.ReportUnsupported
	case err == nil:
		report.Kind, report.Incarnation = streamorigin.ReportReceived, incarnation
	}

	return report
}
