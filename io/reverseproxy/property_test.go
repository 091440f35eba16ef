package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/core/upstreamlimit"
	"cardamomward/io/upstreamclient"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	// The server's clock would otherwise be started by the first stream, within a bubble of synctest that it never leaves.
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}

// attemptEvent is the behaviour of an upstream for one attempt to send it the request.
type attemptEvent string

const (
	connectionRefused    attemptEvent = "connection refused"
	withheld             attemptEvent = "withheld, since the failure domain is evacuated"
	refusedWithMarker    attemptEvent = "refused with the marker that nothing was executed"
	misdirected          attemptEvent = "refused by another process at the same address"
	refusedWithoutMarker attemptEvent = "refused without the marker"
	headLost             attemptEvent = "written, response head lost"
	headCut              attemptEvent = "written, response head cut"
	bodyCut              attemptEvent = "response body cut"
	connectionReset      attemptEvent = "reset while the request is written"
	timedOut             attemptEvent = "written, no response until the deadline"
	silentProcessGone    attemptEvent = "written, no response, and the process refuses connections"
	processReplaced      attemptEvent = "written, process replaced"
	processGone          attemptEvent = "response body cut, and the process refuses connections"
	otherResponse        attemptEvent = "the response to another request"
	errorAnswered        attemptEvent = "answered with a status of 503"
	answered             attemptEvent = "answered"
)

// attemptEvents names the events that allow another attempt several times, so that long sequences are drawn.
var attemptEvents = []attemptEvent{
	connectionRefused, connectionRefused, withheld, withheld, refusedWithMarker, refusedWithMarker, misdirected, misdirected,
	refusedWithoutMarker, headLost, headCut, bodyCut, connectionReset, timedOut, silentProcessGone, processReplaced, processGone, otherResponse,
	errorAnswered, answered,
}

// mayExecute reports whether the upstream may have executed the request.
func (e attemptEvent) mayExecute() bool {
	return e != connectionRefused && e != withheld && e != refusedWithMarker && e != misdirected
}

// certainlyExecutes reports whether a response shows that the upstream executed the request.
func (e attemptEvent) certainlyExecutes() bool {
	return e == answered || e == errorAnswered || e == bodyCut || e == processGone
}

// endsProcess reports whether the process that got the request ends with it.
func (e attemptEvent) endsProcess() bool {
	return e == silentProcessGone || e == processReplaced || e == processGone
}

// refusesLater reports whether connections after the one of the attempt are refused.
func (e attemptEvent) refusesLater() bool { return e == silentProcessGone || e == processGone }

const (
	propertyRequestID = "request"
	propertyService   = id.Service("s")
	// propertyUpstreams is more than the attempts of any request.
	propertyUpstreams = 14
	streamEvents      = 5
)

// scriptedAttempt is an attempt as it is drawn, and what became of it.
type scriptedAttempt struct {
	event attemptEvent
	// isExecuted is set if the upstream executes the request once it has received it.
	isExecuted bool
	// eventsBeforeCut is the number of events of a stream that arrive before a cut.
	eventsBeforeCut int
	// repeatsStream is set if a resumed stream begins with its first event.
	repeatsStream bool

	hasBegun, hasReceivedBytes bool
}

// fakeUpstreams are upstreams in memory. The n-th upstream that is connected to follows the n-th attempt of the script.
type fakeUpstreams struct {
	fakeParts

	config *routing.Config
	route  *routing.Route
	// dialDuration is how long it takes to connect to an upstream.
	dialDuration time.Duration

	mu        sync.Mutex
	script    []*scriptedAttempt
	begun     int
	byAddress map[string]*scriptedAttempt
	runningBy map[id.Upstream]int
}

func newFakeUpstreams(route *routing.Route, script []*scriptedAttempt) *fakeUpstreams {
	f := &fakeUpstreams{
		route: route, script: script, byAddress: make(map[string]*scriptedAttempt), runningBy: make(map[id.Upstream]int),
	}
	f.onAdmit = func(*registry.Instance) {}
	f.config = routing.NewConfig(1, routing.Limits{}, []*routing.Route{route}, []*routing.Service{{Name: propertyService}}, nil)
	for i := range propertyUpstreams {
		name := "u-" + strconv.Itoa(i)
		f.instances = append(f.instances, &registry.Instance{
			ID: id.Upstream(name), Service: propertyService, Address: name, FailureDomain: id.FailureDomain(name), Concurrency: 4, Incarnation: 1, Version: "v",
		})
	}

	return f
}

func (f *fakeUpstreams) attemptAt(address string) *scriptedAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.byAddress[address]
}

// Config implements Discovery.
func (f *fakeUpstreams) Config() *routing.Config { return f.config }

// EvacuatedUpstreams implements Discovery.
func (f *fakeUpstreams) EvacuatedUpstreams(id.Service) []*registry.Instance { return nil }

// IsEvacuated implements Discovery.
func (f *fakeUpstreams) IsEvacuated(domain id.FailureDomain) bool {
	attempt := f.attemptAt(string(domain))

	return attempt != nil && attempt.event == withheld
}

// VerifyOrigin implements Discovery.
func (f *fakeUpstreams) VerifyOrigin(streamorigin.Origin) streamorigin.Knowledge {
	return streamorigin.Known
}

// ConfirmOrigin implements Discovery.
func (f *fakeUpstreams) ConfirmOrigin(streamorigin.Origin, time.Time) bool { return true }

// HasReadSince implements Discovery.
func (f *fakeUpstreams) HasReadSince(time.Time) bool { return true }

// HasSoleVersion implements Discovery.
func (f *fakeUpstreams) HasSoleVersion(id.Service, id.SoftwareVersion, time.Duration) bool {
	return true
}

// IsReading implements Discovery.
func (f *fakeUpstreams) IsReading() bool { return true }

// RefreshUpstreams implements Discovery.
func (f *fakeUpstreams) RefreshUpstreams() {}

// Read implements ReportReader.
func (f *fakeUpstreams) Read(context.Context, string, time.Duration) streamorigin.Report {
	return streamorigin.Report{}
}

// GetUpstream implements Discovery.
func (f *fakeUpstreams) GetUpstream(upstream id.Upstream) (*registry.Instance, bool) {
	instance := &registry.Instance{ID: upstream, Service: propertyService, Address: string(upstream), Incarnation: 1, Version: "v"}
	if attempt := f.attemptAt(string(upstream)); attempt != nil && attempt.event == processReplaced {
		instance.Incarnation = 2
	}

	return instance, true
}

// AddRunningRequests implements LoadTracker.
func (f *fakeUpstreams) AddRunningRequests(upstream id.Upstream, delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runningBy[upstream] += delta; f.runningBy[upstream] == 0 {
		delete(f.runningBy, upstream)
	}
}

// RecordCold implements UpstreamLimiter.
func (f *fakeUpstreams) RecordCold(*registry.Instance, time.Duration, coldstart.Policy, coldstart.Source) {
}

// RecordUpstreamLimit implements UpstreamLimiter.
func (f *fakeUpstreams) RecordUpstreamLimit(upstreamlimit.Statement) {}

// IsRequestBlocked implements CrashTracker.
func (f *fakeUpstreams) IsRequestBlocked(id.Fingerprint) bool { return false }

// RecordCrash implements CrashTracker.
func (f *fakeUpstreams) RecordCrash(id.Fingerprint, *registry.Instance) {}

// RecordStreamOrigin implements StreamTracker.
func (f *fakeUpstreams) RecordStreamOrigin(streamorigin.Attempt, streamorigin.Origin) {}

// FindStreamOrigin implements StreamTracker.
func (f *fakeUpstreams) FindStreamOrigin(context.Context, streamorigin.Attempt) (streamorigin.Origin, streamorigin.Knowledge) {
	return streamorigin.Origin{}, streamorigin.Unknown
}

// dial connects to an upstream. Only its first connection is an attempt; later ones test whether it is reachable.
func (f *fakeUpstreams) dial(_ context.Context, _, address string) (net.Conn, error) {
	time.Sleep(f.dialDuration)
	f.mu.Lock()
	attempt, isProbe := f.byAddress[address]
	if !isProbe {
		attempt = f.script[f.begun]
		attempt.hasBegun = true
		f.begun++
		f.byAddress[address] = attempt
	}
	f.mu.Unlock()
	if attempt.event == connectionRefused || isProbe && attempt.event.refusesLater() {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if !isProbe {
			f.serve(server, attempt)
		}
		io.Copy(io.Discard, server) //nolint:errcheck // until the client closes
	}()

	return client, nil
}

// serve receives a request and responds as the attempt says.
func (f *fakeUpstreams) serve(conn net.Conn, attempt *scriptedAttempt) {
	reader := bufio.NewReader(&receivingConn{Conn: conn, onBytes: func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		attempt.hasReceivedBytes = true
	}})
	if attempt.event == connectionReset {
		reader.ReadByte() //nolint:errcheck // the connection is closed in any case
		conn.Close()

		return
	}
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
	switch response := f.respond(req, attempt); attempt.event {
	case timedOut, silentProcessGone:
	default:
		io.WriteString(conn, response) //nolint:errcheck // a test
		if attempt.event != answered && attempt.event != errorAnswered {
			conn.Close()
		}
	}
}

// receivingConn reports that it receives bytes.
type receivingConn struct {
	net.Conn

	onBytes func()
}

func (c *receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onBytes()
	}

	return n, err
}

// respond returns the bytes of the response to a request, as far as they arrive.
func (f *fakeUpstreams) respond(req *http.Request, attempt *scriptedAttempt) string {
	const ownFields = "Request-Id: " + propertyRequestID + "\r\n"
	const signedFields = ownFields + "Response-Signature: s\r\n"
	format := func(status int, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	}
	body, fields, cut := unaryAnswer(attempt), signedFields, len(unaryAnswer(attempt))/2
	if f.route.Kind == routing.Stream {
		first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // zero without the field
		if attempt.repeatsStream {
			first = 0
		}
		fields += "Content-Type: text/event-stream\r\n"
		last := min(streamEvents-1, first+attempt.eventsBeforeCut)
		body, cut = streamText(first, streamEvents), len(streamText(first, last))+len("id: ")
	}
	switch attempt.event {
	case refusedWithMarker:
		return format(http.StatusServiceUnavailable, ownFields+"Not-Executed: 1\r\n", "")
	case misdirected:
		return format(http.StatusMisdirectedRequest, ownFields, "")
	case refusedWithoutMarker:
		return format(http.StatusServiceUnavailable, ownFields, "")
	case headCut:
		return format(http.StatusOK, fields, "")[:20]
	case bodyCut, processGone:
		whole := format(http.StatusOK, fields, body)

		return whole[:len(whole)-len(body)+cut]
	case otherResponse:
		return format(http.StatusOK, strings.Replace(fields, propertyRequestID, "another", 1), "not this one")
	case errorAnswered:
		return format(http.StatusServiceUnavailable, signedFields, "failed")
	case answered:
		return format(http.StatusOK, fields, body)
	default:
		return ""
	}
}

func unaryAnswer(attempt *scriptedAttempt) string { return fmt.Sprintf("answer of %p", attempt) }

// streamText returns the events after the first number up to the last one.
func streamText(after, last int) string {
	var text strings.Builder
	for number := after + 1; number <= last; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", number, number)
	}

	return text.String()
}

// callerConn is the caller's connection, in memory.
type callerConn struct {
	*mock.Conn

	onClose func()
	// pending is written but not flushed.
	pending [][]byte
	flushed []byte
}

// Malloc implements network.Writer.
func (c *callerConn) Malloc(n int) ([]byte, error) {
	buf := make([]byte, n)
	c.pending = append(c.pending, buf)

	return buf, nil
}

// WriteBinary implements network.Writer.
func (c *callerConn) WriteBinary(b []byte) (int, error) {
	c.pending = append(c.pending, b)

	return len(b), nil
}

// Flush implements network.Writer.
func (c *callerConn) Flush() error {
	c.flushed = append(c.flushed, bytes.Join(c.pending, nil)...)
	c.pending = nil

	return nil
}

// Close ends the request's context, as the server does once it has stopped to read from the connection.
func (c *callerConn) Close() error {
	c.onClose()

	return c.Conn.Close()
}

// RemoteAddr returns a fixed address.
func (c *callerConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4zero, Port: 1} }

// callerResponse is the response as the caller receives it.
type callerResponse struct {
	status     int
	isSigned   bool
	isComplete bool
	requestID  string
	body       string
}

// isNotExecuted reports whether the response promises that the request was not executed.
func (r callerResponse) isNotExecuted() bool {
	return r.isComplete && r.status == http.StatusServiceUnavailable && !r.isSigned
}

// call sends a request through a proxy in front of the upstreams and returns the response, also as far as it is written before the
// connection is closed.
func (f *fakeUpstreams) call(t *testing.T) callerResponse {
	t.Helper()

	return f.callWith(t, f, f)
}

// callWith is call with other registrations and reports.
func (f *fakeUpstreams) callWith(t *testing.T, discovery Discovery, reports ReportReader) callerResponse {
	t.Helper()
	client := &upstreamclient.Client{Dial: f.dial}
	defer func() { client.CloseExpired(time.Now().Add(time.Hour)) }()
	p := &Proxy{
		Discovery: discovery, UpstreamClient: client, Crashes: f, Streams: f, Loads: f, Limits: f, Shutdowns: f, Reports: reports, Logger: logr.Discard(), Now: time.Now,
		ShouldCloseConnections: func() bool { return false },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	conn := &callerConn{Conn: mock.NewConn(""), onClose: cancel}
	c := app.NewContext(0)
	c.SetConn(conn)
	c.Request.SetMethod(http.MethodPost)
	c.Request.Header.SetRequestURI("/path")
	c.Request.Header.SetHost("h")
	c.Request.Header.Set("Request-Id", propertyRequestID)
	c.Request.SetBodyString("body")
	p.HandleRequest(ctx, c)
	if ctx.Err() != nil {
		return callerResponse{}
	}
	if writer := c.Response.GetHijackWriter(); writer != nil {
		require.NoError(t, writer.Finalize())
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(conn.flushed)), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)

		return callerResponse{
			status: resp.StatusCode, isSigned: resp.Header.Get("Response-Signature") != "", isComplete: err == nil,
			requestID: resp.Header.Get("Request-Id"), body: string(body),
		}
	}

	return callerResponse{
		status: c.Response.StatusCode(), isSigned: c.Response.Header.Get("Response-Signature") != "", isComplete: true,
		requestID: c.Response.Header.Get("Request-Id"), body: string(c.Response.Body()),
	}
}

// executionModel counts the executions of the request.
type executionModel struct {
	// possible counts the attempts that may have been executed, possibleInLive those in processes that have not ended, and actual
	// those that were executed.
	possible, possibleInLive, actual int
	// sendsAfterPossible counts the attempts that were begun after one that may have been executed.
	sendsAfterPossible int
}

func (f *fakeUpstreams) model() executionModel {
	var model executionModel
	for _, attempt := range f.script {
		if !attempt.hasBegun {
			continue
		}
		if model.possible > 0 {
			model.sendsAfterPossible++
		}
		if !attempt.hasReceivedBytes || !attempt.event.mayExecute() {
			continue
		}
		model.possible++
		if !attempt.event.endsProcess() {
			model.possibleInLive++
		}
		if attempt.isExecuted {
			model.actual++
		}
	}

	return model
}

// drawScript draws a route and what the upstreams do with the attempts of one request.
func drawScript(t *rapid.T) *fakeUpstreams {
	route := &routing.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: rapid.SampledFrom([]routing.Kind{routing.Unsafe, routing.Safe, routing.Stream}).Draw(t, "kind"),
		Timeout: 5 * time.Second, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max attempts"), Public: true,
		Services: []routing.WeightedService{{Service: propertyService, Weight: 1}},
	}
	route.Resumable = route.Kind == routing.Stream && rapid.Bool().Draw(t, "resumable")
	script := make([]*scriptedAttempt, propertyUpstreams)
	for i := range script {
		event := rapid.SampledFrom(attemptEvents).Draw(t, "event")
		script[i] = &scriptedAttempt{
			event: event, isExecuted: event.certainlyExecutes() || event.mayExecute() && rapid.Bool().Draw(t, "executed"),
			eventsBeforeCut: rapid.IntRange(0, streamEvents-1).Draw(t, "events before cut"),
			repeatsStream:   rapid.Bool().Draw(t, "repeats stream"),
		}
	}

	return newFakeUpstreams(route, script)
}

// firstDecisive returns the number of attempts of the script that certainly execute nothing before the first other one.
func (f *fakeUpstreams) firstDecisive() int {
	for i, attempt := range f.script {
		if attempt.event.mayExecute() {
			return i
		}
	}

	return len(f.script)
}

// Guards against a second execution of requests that must not be repeated, against more executions than a route allows, against
// reports that a request was not executed although it may have been, and against responses of which a part belongs to another one.
func TestResponseAgreesWithWhatUpstreamsExecuted(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		upstreams := drawScript(r)
		var response callerResponse
		synctest.Test(t, func(t *testing.T) { response = upstreams.call(t) })
		model := upstreams.model()
		route := upstreams.route

		require.Positive(r, upstreams.begun)
		require.Empty(r, upstreams.runningBy, "ended attempts do not count as running")
		if !route.IsRetryable() {
			require.Zero(r, model.sendsAfterPossible, "a request that may have been executed is not sent again")
			require.LessOrEqual(r, model.actual, 1)
		}
		require.LessOrEqual(r, model.possibleInLive, route.MaxAttempts, "processes that live execute a request at most as often as the route allows")
		require.LessOrEqual(r, model.possible, route.MaxAttempts+1)
		require.Equal(r, model.possible == 0, response.isNotExecuted(), "a request is reported as not executed exactly if it cannot have been: %+v", response)
		if response.isComplete {
			require.Equal(r, propertyRequestID, response.requestID)
		}
		if response.isComplete && response.status == http.StatusOK {
			last := upstreams.script[upstreams.begun-1]
			require.Equal(r, answered, last.event, "a response that is complete for the caller was so for the host")
			want := unaryAnswer(last)
			if route.Kind == routing.Stream {
				want = streamText(0, streamEvents)
			}
			require.Equal(r, want, response.body)
		}
		if first := upstreams.firstDecisive(); first < 6 && upstreams.script[first].event == answered {
			require.Equal(r, http.StatusOK, response.status, "upstreams that execute nothing are passed over")
		}
	})
}
