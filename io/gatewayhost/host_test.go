package gatewayhost_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/core/id"
	"cardamomward/io/gatewayhost"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/standin/netsim"
)

// waitTimeout limits how long a test waits for a condition.
const waitTimeout = 20 * time.Second

// testCluster is a store, upstreams and hosts on loopback.
type testCluster struct {
	t              *testing.T
	clock          *processClock
	store          *standin.Store
	engines        []*standin.Upstream
	plainUpstreams []*standin.Upstream
	hosts          map[string]*host
	names          []string
	requestCount   atomic.Int64
	// storeLinks are the hosts' connections to the store; adjustSettings changes the settings of each host.
	storeLinks     map[string]*standin.StoreProxy
	adjustSettings []func(*testCluster, *platform.HostSettings)
	// newLogger returns the logger of a host; nil discards the logs.
	newLogger func(name string) logr.Logger
	// servesMetrics makes each host serve its metrics.
	servesMetrics bool
	// operatorToken is the token of the hosts' operator endpoint; empty disables it.
	operatorToken string
	// gatewaySettings are the settings of all hosts' optional parts; nil means the default.
	gatewaySettings *gatewaysettings.Settings
	// network holds the links between hosts and upstreams.
	network netsim.Network
	// dial connects hosts to upstreams instead of the network; nil means the network.
	dial upstreamclient.DialFunc
	// runsProcesses runs each host in a process of its own; processOutput returns where its logs go and may be nil.
	runsProcesses bool
	processOutput func(name string) io.Writer
}

type host struct {
	settings *platform.HostSettings
	stop     context.CancelFunc
	done     chan struct{}
	instance *gatewayhost.Host
	drain    func()
	// pause, resume and process are set only for a host that runs in a process of its own.
	pause, resume func()
	process       *os.Process
}

const (
	// firstTestPort is the first of the ports of hosts. All are below the kernel's ephemeral port range, so that no outgoing connection
	// takes the port of a killed host.
	firstTestPort = 20_000
	// portRanges is the number of ranges of portsPerRange ports. A process uses those whose first port it listens on: processes that
	// run tests at the same time took each other's ports.
	portRanges    = 50
	portsPerRange = 200
)

var (
	nextPortMu sync.Mutex
	// nextPort is the next port to try, and lastPort the end of the range.
	nextPort, lastPort int
	// claimedRanges keeps the ranges of this process until it ends.
	claimedRanges []net.Listener
)

func listenOnLoopback(port int) (net.Listener, error) {
	return net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

// claimPortRange claims a range that no other process uses; the caller holds the lock.
func claimPortRange(t *testing.T) {
	t.Helper()
	for i := range portRanges {
		first := firstTestPort + (os.Getpid()+i)%portRanges*portsPerRange
		listener, err := listenOnLoopback(first)
		if err == nil {
			claimedRanges = append(claimedRanges, listener)
			nextPort, lastPort = first+1, first+portsPerRange

			return
		}
	}
	require.FailNow(t, "all ports are in use")
}

func freePort(t *testing.T) int {
	t.Helper()
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	for {
		if nextPort >= lastPort {
			claimPortRange(t)
		}
		port := nextPort
		nextPort++
		listener, err := listenOnLoopback(port)
		if err == nil {
			require.NoError(t, listener.Close())

			return port
		}
	}
}

func newTestCluster(t *testing.T, hosts int, adjustSettings ...func(*testCluster, *platform.HostSettings)) *testCluster {
	t.Helper()
	c := &testCluster{t: t, clock: startProcessClock(t), store: standin.NewStore(), hosts: make(map[string]*host), storeLinks: make(map[string]*standin.StoreProxy), adjustSettings: adjustSettings}
	t.Cleanup(c.store.Close)
	standin.Configuration{Version: 1, APIKeys: []string{"secret"}}.WriteToStore(c.store)
	for i := range 2 {
		c.engines = append(c.engines, standin.NewUpstream(fmt.Sprintf("engine-%d", i), "engines", 5))
		c.plainUpstreams = append(c.plainUpstreams, standin.NewUpstream(fmt.Sprintf("desk-%d", i), "desk", 0))
	}
	for _, upstream := range append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...) {
		t.Cleanup(upstream.Close)
		upstream.Register(c.store, "ready")
		c.network.SetAddressName(upstream.Address(), upstream.ID)
	}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		c.names = append(c.names, name)
		c.start(name)
	}
	c.waitReady()

	return c
}

// start starts a host; a host that ran before keeps its addresses.
func (c *testCluster) start(name string) {
	c.t.Helper()
	h, ok := c.hosts[name]
	if !ok {
		newAddress := func() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(c.t))) }
		port := freePort(c.t)
		storeLink := c.store.NewProxy()
		c.t.Cleanup(storeLink.Close)
		c.storeLinks[name] = storeLink
		h = &host{settings: &platform.HostSettings{
			Name: id.Host(name), IP: "127.0.0.1", FailureDomain: "zone-a", CallerAddress: newAddress(), ReadinessAddress: newAddress(), ResolveAddress: newAddress(),
			PeerPorts: [2]int{port, freePort(c.t)}, FirstStart: true, CPUCores: 1,
			Store:  platform.StoreSettings{Address: storeLink.Address(), Partitions: 12, MaxCallBytes: 1 << 20, MinLeaseDuration: time.Second},
			Bounds: platform.Bounds{GracePeriod: 4 * time.Second, ResolveTTL: 5 * time.Second},
		}}
		for _, adjustSettings := range c.adjustSettings {
			adjustSettings(c, h.settings)
		}
		c.hosts[name] = h
	} else {
		h.settings.FirstStart = false
	}
	if c.runsProcesses {
		c.startProcess(h)

		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.done = cancel, make(chan struct{})
	logger := logr.Discard()
	if c.newLogger != nil {
		logger = c.newLogger(name)
	}
	// A process that was killed may still read its settings while the next one gets others.
	settings := *h.settings
	h.instance = gatewayhost.New(&settings, logger, time.Now)
	if c.gatewaySettings != nil {
		h.instance.Configure(c.gatewaySettings)
	}
	if c.servesMetrics {
		h.instance.MetricsPort = freePort(c.t)
		h.instance.OperatorToken = c.operatorToken
	}
	h.instance.DialUpstream = upstreamclient.DialFunc(c.network.DialerFrom(name))
	if c.dial != nil {
		h.instance.DialUpstream = c.dial
	}
	h.drain = func() { h.instance.Drain(context.Background()) }
	go func(running *gatewayhost.Host, done chan struct{}) {
		defer close(done)
		if err := running.Run(ctx); err != nil {
			c.t.Errorf("host %s: %v", h.settings.Name, err)
		}
	}(h.instance, h.done)
	c.t.Cleanup(func() { cancel(); <-h.done })
}

// kill stops a host without draining it.
func (c *testCluster) kill(name string) {
	c.hosts[name].stop()
	<-c.hosts[name].done
}

// waitReady waits until each host lists all hosts in its directory and completes turns.
func (c *testCluster) waitReady() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for i, name := range c.names {
			for _, other := range c.names {
				if !strings.Contains(c.addresses(name), c.hosts[other].settings.CallerAddress) {
					return false
				}
			}
			for slot := range 8 {
				program := fmt.Sprintf("warm-%d-%d-%d", i, slot, c.requestCount.Add(1))
				response, err := standin.NewTurnRequest("/draft/x", "secret", program, "", "hello").Send(context.Background(), program, c.hosts[name].settings.CallerAddress)
				if err != nil || response.Status != http.StatusOK {
					return false
				}
			}
		}

		return true
	}, waitTimeout, 50*time.Millisecond)
}

// addresses returns the response of a host's directory.
func (c *testCluster) addresses(name string) string {
	resp, err := http.Get("http://" + c.hosts[name].settings.ResolveAddress + platform.ResolvePath + "?name=agents.example") //nolint:noctx // a test
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)

	return string(body)
}

// metrics returns the metrics of a host.
func (c *testCluster) metrics(name string) string {
	c.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", c.hosts[name].instance.MetricsPort)) //nolint:noctx // a test
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, resp.StatusCode, "monitoring drops metrics of other statuses")
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)

	return string(body)
}

func (c *testCluster) do(name string, call standin.CallerRequest) standin.CallerResponse {
	c.t.Helper()
	request := fmt.Sprintf("request-%d", c.requestCount.Add(1))
	response, err := call.Send(context.Background(), request, c.hosts[name].settings.CallerAddress)
	require.NoError(c.t, err)

	return response
}

// doUntilStatus repeats a call until it returns the status and a whole response.
func (c *testCluster) doUntilStatus(name string, call standin.CallerRequest, status int) standin.CallerResponse {
	c.t.Helper()
	var response standin.CallerResponse
	require.Eventually(c.t, func() bool {
		request := fmt.Sprintf("request-%d", c.requestCount.Add(1))
		var err error
		response, err = call.Send(context.Background(), request, c.hosts[name].settings.CallerAddress)

		return err == nil && response.Status == status && !response.Truncated
	}, waitTimeout, 20*time.Millisecond, "last response: %v", &response)

	return response
}

// executionsOf returns the executions of a request at all upstreams.
func (c *testCluster) executionsOf(request string) []standin.ExecutedRequest {
	var executions []standin.ExecutedRequest
	for _, upstream := range append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...) {
		for _, executed := range upstream.ExecutedRequests() {
			if executed.Header.Get("Request-Id") == request {
				executions = append(executions, executed)
			}
		}
	}

	return executions
}

func TestPlainRequestsPassThroughUnchanged(t *testing.T) {
	c := newTestCluster(t, 1)
	response := c.do("host-0", standin.CallerRequest{Path: "/order/a?b=%2f", APIKey: "secret", Body: "x", Header: map[string]string{
		"Tenant": "forged", "Pin-Ms": "100", "X-Own": "kept", "Expect-Instance": "forged",
	}})
	require.Equal(t, http.StatusOK, response.Status)
	require.True(t, strings.HasPrefix(response.Header.Get("Response-Signature"), "sig-desk-"))
	executions := c.executionsOf(response.RequestID)
	require.Len(t, executions, 1)
	require.Equal(t, "/order/a?b=%2f", executions[0].Path)
	require.Equal(t, "x", executions[0].Body)
	require.Equal(t, "clerks", executions[0].Header.Get("Tenant"))
	require.Equal(t, "kept", executions[0].Header.Get("X-Own"))
	require.Empty(t, executions[0].Header.Get("Authorization"))
	require.Empty(t, executions[0].Header.Get("Pin-Ms"))
	remaining, err := strconv.Atoi(executions[0].Header.Get("Time-Remaining-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, remaining, 1000, "the route's timeout limits the caller's")
}

func TestUnknownRouteAPIKeyAndTurnAreRefused(t *testing.T) {
	c := newTestCluster(t, 1)
	require.Equal(t, http.StatusNotFound, c.do("host-0", standin.CallerRequest{Path: "/none/", APIKey: "secret"}).Status)
	require.Equal(t, http.StatusUnauthorized, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "wrong"}).Status)
	require.Equal(t, http.StatusNotFound, c.do("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "never", "x")).Status)
}

func TestAmbiguousFramingIsRefusedWithoutSmuggling(t *testing.T) {
	c := newTestCluster(t, 1)
	for _, framing := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked", "Content-Length: 4\r\nContent-Length: 0", "Transfer-Encoding: xchunked",
	} {
		conn, err := net.Dial("tcp", c.hosts["host-0"].settings.CallerAddress)
		require.NoError(t, err)
		fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: outer\r\nAuthorization: Bearer secret\r\n%s\r\n\r\n0\r\n\r\n"+
			"POST /order/ HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: smuggled\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n", framing)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		var first [12]byte
		_, err = conn.Read(first[:])
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 400", string(first[:]))
		conn.Close()
		require.Empty(t, c.executionsOf("outer"))
		require.Empty(t, c.executionsOf("smuggled"))
	}
}

func TestUnexecutedRequestsAreRetriedAtAnotherUpstream(t *testing.T) {
	c := newTestCluster(t, 1)
	c.plainUpstreams[0].SetOverloaded(true)
	for range 8 {
		require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"}).Status)
	}
	c.plainUpstreams[1].SetOverloaded(true)
	response := c.do("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"})
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, c.executionsOf(response.RequestID), "a 503 means that the request was not executed")
}

func TestLostResponsesAreRetriedOnlyOnSafeRoutes(t *testing.T) {
	c := newTestCluster(t, 1)
	for _, plainUpstream := range c.plainUpstreams {
		plainUpstream.SetDropResponses(true)
	}
	unsafeResponse := c.do("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"})
	require.Equal(t, http.StatusBadGateway, unsafeResponse.Status, "a 502 does not promise that the request was not executed")
	require.Len(t, c.executionsOf(unsafeResponse.RequestID), 1, "an unsafe request is executed once")
	safeResponse := c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"})
	require.Equal(t, http.StatusBadGateway, safeResponse.Status)
	require.Len(t, c.executionsOf(safeResponse.RequestID), 2, "a safe request is executed up to the attempts of its route")
}

func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	c := newTestCluster(t, 1)
	for _, plainUpstream := range c.plainUpstreams {
		plainUpstream.SetStrayResponses(true)
	}
	response := c.do("host-0", standin.CallerRequest{Path: "/order/", APIKey: "secret"})
	require.Equal(t, http.StatusOK, response.Status)
	require.Equal(t, "right", response.Body)
}

const wholeStream = "id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\nid: 3\ndata: word-3\n\nid: 4\ndata: word-4\n\nid: 5\ndata: word-5\n\n"

func TestBrokenStreamsResumeAtAnotherUpstream(t *testing.T) {
	c := newTestCluster(t, 1)
	c.engines[0].BreakStreamsAtEvent(3)
	for i := range 8 {
		response := c.do("host-0", standin.NewTurnRequest("/draft/", "secret", fmt.Sprint("p", i), "", "x"))
		require.False(t, response.Truncated)
		require.Equal(t, wholeStream, response.Body)
	}
}

func TestStreamsThatCannotBeResumedAreTruncated(t *testing.T) {
	c := newTestCluster(t, 1)
	c.engines[0].BreakStreamsAtEvent(3)
	c.engines[1].BreakStreamsAtEvent(3)
	response := c.do("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "", "x"))
	require.True(t, response.Truncated)
	require.Equal(t, "id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\n", response.Body)
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	c := newTestCluster(t, 1)
	for _, engine := range c.engines {
		engine.EventInterval = 300 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	response, err := standin.NewTurnRequest("/draft/", "secret", "p", "", "x").Send(ctx, "left", c.hosts["host-0"].settings.CallerAddress)
	require.True(t, err != nil || response.Truncated)
	time.Sleep(100 * time.Millisecond)
	require.Len(t, c.executionsOf("left"), 1, "the request is not retried")
}

func TestRetainedTurnsAreFoundByAllHostsAndAfterRestart(t *testing.T) {
	c := newTestCluster(t, 3)
	first := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	second := c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", "p", first.RequestID, "two;"), http.StatusOK)
	output := "word-1\nword-2\nword-3\nword-4\nword-5\n"
	require.Equal(t, "one;"+output+"two;", c.executionsOf(second.RequestID)[0].Body)

	other := c.doUntilStatus("host-2", standin.NewTurnRequest("/chat/", "secret", "another-program", first.RequestID, "three;"), http.StatusOK)
	require.Equal(t, "one;"+output+"three;", c.executionsOf(other.RequestID)[0].Body, "another program continues from the turn")
	next := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "another-program", other.RequestID, "four;"), http.StatusOK)
	require.Equal(t, "one;"+output+"three;"+output+"four;", c.executionsOf(next.RequestID)[0].Body)

	for _, name := range c.names {
		c.kill(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
	third := c.doUntilStatus("host-2", standin.NewTurnRequest("/chat/", "secret", "p", second.RequestID, "five;"), http.StatusOK)
	require.Equal(t, "one;"+output+"two;"+output+"five;", c.executionsOf(third.RequestID)[0].Body)
}

func TestCommentsOfStreamAreForwardedButAreNoOutput(t *testing.T) {
	const words = 5
	c := newTestCluster(t, 1)
	for _, engine := range c.engines {
		engine.SetComments(true)
	}
	first := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	require.Equal(t, words+1, strings.Count(first.Body, ": keep-alive\n\n"), "the body is the upstream's")
	second := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", first.RequestID, "two;"), http.StatusOK)
	require.Equal(t, "one;word-1\nword-2\nword-3\nword-4\nword-5\ntwo;", c.executionsOf(second.RequestID)[0].Body)
}

func TestCommentBetweenEventsIsForwardedAtOnce(t *testing.T) {
	const interval = time.Second
	c := newTestCluster(t, 1)
	c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	for _, engine := range c.engines {
		engine.SetComments(true)
		engine.EventInterval = interval
	}
	request := standin.NewTurnRequest("/chat/", "secret", "q", "", "one;")
	// The first comment and event, and the comment half an interval later.
	request.DisconnectAfterEvents = 3
	sentAt := time.Now()
	response := c.do("host-0", request)
	require.Equal(t, 2, strings.Count(response.Body, ": keep-alive\n\n"))
	require.Less(t, time.Since(sentAt), interval*9/10)
}

// Turns were answered whole while the store was down, and lost with the hosts that had them in memory.
func TestRetainedTurnsSurviveOwnerLossDuringStoreOutage(t *testing.T) {
	c := newTestCluster(t, 4)
	c.store.SetFaults(standin.Faults{Down: true})
	time.AfterFunc(500*time.Millisecond, func() {
		c.kill("host-1")
		c.start("host-1")
	})
	time.AfterFunc(time.Second, func() { c.store.SetFaults(standin.Faults{}) })
	turns := c.sendTurns("host-0", 24)
	require.NotEmpty(t, turns)
	for _, name := range c.names {
		c.kill(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
	for program, first := range turns {
		second := c.doUntilStatus("host-2", standin.NewTurnRequest("/chat/", "secret", program, first.RequestID, "two;"), http.StatusOK)
		require.Equal(t, "one;word-1\nword-2\nword-3\nword-4\nword-5\ntwo;", c.executionsOf(second.RequestID)[0].Body)
	}
}

func TestBudgetIsEnforcedAcrossHostsAndRestarts(t *testing.T) {
	c := newTestCluster(t, 3)
	turns := 0
	sendTurn := func(name string) int {
		response := c.do(name, standin.NewTurnRequest("/draft/", "secret", "looping", "", "x"))
		if response.Status == http.StatusOK {
			turns++
		}

		return response.Status
	}
	deadline := time.Now().Add(waitTimeout)
	for i := 0; sendTurn(c.names[i%3]) != http.StatusPaymentRequired; i++ {
		require.True(t, time.Now().Before(deadline))
	}
	for _, name := range c.names {
		c.kill(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.doUntilStatus("host-1", standin.NewTurnRequest("/draft/", "secret", "looping", "", "x"), http.StatusPaymentRequired)
	// Each turn has five events of ten tokens.
	require.LessOrEqual(t, turns*50, 1000+100)
	require.GreaterOrEqual(t, turns*50, 850)
}

func TestBudgetIsEnforcedForConcurrentTurns(t *testing.T) {
	c := newTestCluster(t, 3)
	var executed atomic.Int64
	var tasks sync.WaitGroup
	for i := range 60 {
		tasks.Go(func() {
			request := fmt.Sprintf("parallel-%d", i)
			response, err := standin.NewTurnRequest("/draft/", "secret", "wide", "", request).Send(context.Background(), request, c.hosts[c.names[i%3]].settings.CallerAddress)
			if err == nil && response.Status == http.StatusOK {
				executed.Add(1)
			}
		})
	}
	tasks.Wait()
	require.LessOrEqual(t, executed.Load()*50, int64(1000+100))
}

func TestRateLimitIsEnforcedAcrossHosts(t *testing.T) {
	c := newTestCluster(t, 3)
	standin.Configuration{Version: 2, APIKeys: []string{"secret"}, RequestsPerSecond: 20, Burst: 20}.WriteToStore(c.store)
	c.doUntilStatus("host-2", standin.CallerRequest{Path: "/look/", APIKey: "secret", Method: http.MethodGet}, http.StatusOK)
	time.Sleep(300 * time.Millisecond)
	var admitted, refused atomic.Int64
	startedAt := time.Now()
	var tasks sync.WaitGroup
	for i := range 12 {
		tasks.Go(func() {
			for n := 0; time.Since(startedAt) < 2*time.Second; n++ {
				request := fmt.Sprintf("rate-%d-%d", i, n)
				response, err := standin.CallerRequest{Path: "/look/", APIKey: "secret"}.Send(context.Background(), request, c.hosts[c.names[i%3]].settings.CallerAddress)
				if err == nil && response.Status == http.StatusOK {
					admitted.Add(1)
				} else if err == nil && response.Status == http.StatusTooManyRequests {
					refused.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	elapsed := time.Since(startedAt).Seconds()
	require.Positive(t, refused.Load())
	require.LessOrEqual(t, float64(admitted.Load()), (20*elapsed+20)*1.1+20)
	require.GreaterOrEqual(t, float64(admitted.Load()), 20.0)
}

func TestWithdrawnKeysAndDrainingUpstreamsAreNotUsed(t *testing.T) {
	c := newTestCluster(t, 2)
	standin.Configuration{Version: 2, APIKeys: []string{"fresh"}}.WriteToStore(c.store)
	for _, name := range c.names {
		c.doUntilStatus(name, standin.CallerRequest{Path: "/look/", APIKey: "secret"}, http.StatusUnauthorized)
		c.doUntilStatus(name, standin.CallerRequest{Path: "/look/", APIKey: "fresh"}, http.StatusOK)
	}
	c.plainUpstreams[0].Register(c.store, "draining")
	time.Sleep(time.Second)
	before := len(c.plainUpstreams[0].ExecutedRequests())
	for range 10 {
		require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "fresh"}).Status)
	}
	require.Len(t, c.plainUpstreams[0].ExecutedRequests(), before)
}

func TestUndecodableRecordsAreIgnored(t *testing.T) {
	c := newTestCluster(t, 1)
	c.store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(`{"version":9,"routes":[{"kind":"odd"}]}`))
	c.store.PutRecord(platform.UpstreamsTopic, "odd", []byte(`{"service":"desk","address":7}`))
	c.store.PutRecord(platform.UpstreamsTopic, "torn", []byte{0xff})
	for key, entry := range map[string]string{
		"nested":  strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"many":    `{"service":"desk","address":"127.0.0.1:9","slots":1e400,"state":"ready","born":1}`,
		"port":    `{"service":"desk","address":"127.0.0.1:99999","slots":4,"state":"ready","born":1}`,
		"no-port": `{"service":"desk","address":"127.0.0.1:0","slots":9000000000000000000,"state":"ready","born":1}`,
		"a\r\nb":  `{"service":"desk","address":"127.0.0.1:9","slots":4,"state":"ready","born":1}`,
	} {
		c.store.PutRecord(platform.UpstreamsTopic, key, []byte(entry))
	}
	time.Sleep(500 * time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"}).Status)
	}
}

func TestDrainingHostLeavesDirectoryAndFinishesRequests(t *testing.T) {
	c := newTestCluster(t, 2)
	for _, engine := range c.engines {
		engine.EventInterval = 100 * time.Millisecond
	}
	leaving := c.hosts["host-0"]
	require.Eventually(t, func() bool { return strings.Contains(c.addresses("host-1"), leaving.settings.CallerAddress) }, waitTimeout, 20*time.Millisecond)
	var tasks sync.WaitGroup
	for i := range 6 {
		tasks.Go(func() {
			request := fmt.Sprintf("drained-%d", i)
			response, err := standin.NewTurnRequest("/draft/", "secret", request, "", "x").Send(context.Background(), request, leaving.settings.CallerAddress)
			require.NoError(t, err)
			require.Equal(t, wholeStream, response.Body)
		})
	}
	time.Sleep(100 * time.Millisecond)
	leaving.instance.Drain(context.Background())
	require.Eventually(t, func() bool { return !strings.Contains(c.addresses("host-1"), leaving.settings.CallerAddress) }, waitTimeout, 20*time.Millisecond)
	response := c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"})
	require.Equal(t, http.StatusOK, response.Status, "requests are still served while draining")
	require.True(t, response.ClosesConnection, "the response closes the connection")
	tasks.Wait()
	<-leaving.done
	require.Equal(t, http.StatusOK, c.doUntilStatus("host-1", standin.NewTurnRequest("/draft/", "secret", "after", "", "x"), http.StatusOK).Status)
}
