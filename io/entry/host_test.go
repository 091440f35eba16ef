package entry_test

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

	"cardamomward/core/id"
	"cardamomward/io/entry"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// patience bounds what a test waits for.
const patience = 20 * time.Second

// fleet is a store, upstreams and hosts on loopback.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	engines []*standin.Upstream
	desks   []*standin.Upstream
	hosts   map[string]*host
	names   []string
	calls   atomic.Int64
	// doors are the ways of the hosts to the store, and adjust changes the settings of each host.
	doors  map[string]*standin.Door
	adjust []func(*fleet, *platform.Host)
}

type host struct {
	settings *platform.Host
	stop     context.CancelFunc
	done     chan struct{}
	running  *entry.Host
}

// nextPort runs below the ports that the kernel gives to outgoing connections, so that none takes a dead host's port.
var nextPort = 20_000 + os.Getpid()%50*200

func freePort(t *testing.T) int {
	t.Helper()
	for {
		nextPort++
		listener, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort)))
		if err == nil {
			require.NoError(t, listener.Close())

			return nextPort
		}
	}
}

func newFleet(t *testing.T, hosts int, adjust ...func(*fleet, *platform.Host)) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), hosts: make(map[string]*host), doors: make(map[string]*standin.Door), adjust: adjust}
	t.Cleanup(f.store.Close)
	standin.Configuration{Version: 1, Keys: []string{"secret"}}.Write(f.store)
	for i := range 2 {
		f.engines = append(f.engines, standin.NewUpstream(fmt.Sprintf("engine-%d", i), "engines", 5))
		f.desks = append(f.desks, standin.NewUpstream(fmt.Sprintf("desk-%d", i), "desk", 0))
	}
	for _, upstream := range append(append([]*standin.Upstream(nil), f.engines...), f.desks...) {
		t.Cleanup(upstream.Close)
		upstream.Register(f.store, "ready")
	}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		f.names = append(f.names, name)
		f.start(name)
	}
	f.ready()

	return f
}

// start starts a host, at the addresses that it had before.
func (f *fleet) start(name string) {
	f.t.Helper()
	h, ok := f.hosts[name]
	if !ok {
		local := func() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(f.t))) }
		port := freePort(f.t)
		door := f.store.NewDoor()
		f.t.Cleanup(door.Close)
		f.doors[name] = door
		h = &host{settings: &platform.Host{
			Name: id.Host(name), IP: "127.0.0.1", FailureDomain: "zone-a", Callers: local(), Readiness: local(), Directory: local(),
			PeerPorts: [2]int{port, port + 1}, FirstStart: true, CPUShare: 1,
			Store:  platform.StoreSettings{Address: door.Address(), Partitions: 12, CallBytes: 1 << 20, MinLease: time.Second},
			Bounds: platform.Bounds{Grace: 4 * time.Second, AnswerTTL: 5 * time.Second},
		}}
		for _, adjust := range f.adjust {
			adjust(f, h.settings)
		}
		f.hosts[name] = h
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.done = cancel, make(chan struct{})
	h.running = entry.New(h.settings, logr.Discard(), time.Now)
	go func(running *entry.Host, done chan struct{}) {
		defer close(done)
		if err := running.Run(ctx); err != nil {
			f.t.Errorf("host %s: %v", h.settings.Name, err)
		}
	}(h.running, h.done)
	f.t.Cleanup(func() { cancel(); <-h.done })
}

// kill ends a host without a word.
func (f *fleet) kill(name string) {
	f.hosts[name].stop()
	<-f.hosts[name].done
}

// ready waits until a turn runs through each host.
func (f *fleet) ready() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for i, name := range f.names {
			for _, other := range f.names {
				if !strings.Contains(f.addresses(name), f.hosts[other].settings.Callers) {
					return false
				}
			}
			for slot := range 8 {
				program := fmt.Sprintf("warm-%d-%d-%d", i, slot, f.calls.Add(1))
				answer, err := standin.Turn("/draft/x", "secret", program, "", "hello").Do(context.Background(), program, f.hosts[name].settings.Callers)
				if err != nil || answer.Status != http.StatusOK {
					return false
				}
			}
		}

		return true
	}, patience, 50*time.Millisecond)
}

// addresses returns what a host's directory answers.
func (f *fleet) addresses(name string) string {
	resp, err := http.Get("http://" + f.hosts[name].settings.Directory + platform.ResolvePath + "?name=agents.example") //nolint:noctx // a test
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)

	return string(body)
}

func (f *fleet) do(name string, call standin.Call) standin.Answer {
	f.t.Helper()
	request := fmt.Sprintf("request-%d", f.calls.Add(1))
	answer, err := call.Do(context.Background(), request, f.hosts[name].settings.Callers)
	require.NoError(f.t, err)

	return answer
}

// until repeats a call until it has a status.
func (f *fleet) until(name string, call standin.Call, status int) standin.Answer {
	f.t.Helper()
	var answer standin.Answer
	require.Eventually(f.t, func() bool {
		request := fmt.Sprintf("request-%d", f.calls.Add(1))
		var err error
		answer, err = call.Do(context.Background(), request, f.hosts[name].settings.Callers)

		return err == nil && answer.Status == status && !answer.Cut
	}, patience, 20*time.Millisecond, "the last answer: %v", &answer)

	return answer
}

// runs returns how often a request ran, at all upstreams.
func (f *fleet) runs(request string) []standin.Ran {
	var runs []standin.Ran
	for _, upstream := range append(append([]*standin.Upstream(nil), f.engines...), f.desks...) {
		for _, ran := range upstream.Runs() {
			if ran.Header.Get("Request-Id") == request {
				runs = append(runs, ran)
			}
		}
	}

	return runs
}

func TestPlainRequestsPassThroughUnchanged(t *testing.T) {
	f := newFleet(t, 1)
	answer := f.do("host-0", standin.Call{Path: "/order/a?b=%2f", Key: "secret", Body: "x", Header: map[string]string{
		"Tenant": "forged", "Pin-Ms": "100", "X-Own": "kept", "Expect-Instance": "forged",
	}})
	require.Equal(t, http.StatusOK, answer.Status)
	require.True(t, strings.HasPrefix(answer.Header.Get("Response-Signature"), "sig-desk-"))
	runs := f.runs(answer.ID)
	require.Len(t, runs, 1)
	require.Equal(t, "/order/a?b=%2f", runs[0].Path)
	require.Equal(t, "x", runs[0].Body)
	require.Equal(t, "clerks", runs[0].Header.Get("Tenant"))
	require.Equal(t, "kept", runs[0].Header.Get("X-Own"))
	require.Empty(t, runs[0].Header.Get("Authorization"))
	require.Empty(t, runs[0].Header.Get("Pin-Ms"))
	remaining, err := strconv.Atoi(runs[0].Header.Get("Time-Remaining-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, remaining, 1000, "the route's timeout bounds the caller's time")
}

func TestRefusals(t *testing.T) {
	f := newFleet(t, 1)
	require.Equal(t, http.StatusNotFound, f.do("host-0", standin.Call{Path: "/none/", Key: "secret"}).Status)
	require.Equal(t, http.StatusUnauthorized, f.do("host-0", standin.Call{Path: "/look/", Key: "wrong"}).Status)
	require.Equal(t, http.StatusNotFound, f.do("host-0", standin.Turn("/chat/", "secret", "p", "never", "x")).Status)
}

func TestAmbiguousFramingIsRefusedAndNothingSmuggled(t *testing.T) {
	f := newFleet(t, 1)
	for _, framing := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked", "Content-Length: 4\r\nContent-Length: 0", "Transfer-Encoding: xchunked",
	} {
		conn, err := net.Dial("tcp", f.hosts["host-0"].settings.Callers)
		require.NoError(t, err)
		fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: outer\r\nAuthorization: Bearer secret\r\n%s\r\n\r\n0\r\n\r\n"+
			"POST /order/ HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: smuggled\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n", framing)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
		var first [12]byte
		_, err = conn.Read(first[:])
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 400", string(first[:]))
		conn.Close()
		require.Empty(t, f.runs("outer"))
		require.Empty(t, f.runs("smuggled"))
	}
}

func TestRequestsThatDidNotRunGoToAnotherUpstream(t *testing.T) {
	f := newFleet(t, 1)
	f.desks[0].SetFull(true)
	for range 8 {
		require.Equal(t, http.StatusOK, f.do("host-0", standin.Call{Path: "/order/", Key: "secret"}).Status)
	}
	f.desks[1].SetFull(true)
	answer := f.do("host-0", standin.Call{Path: "/order/", Key: "secret"})
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.Empty(t, f.runs(answer.ID), "a refusal is true")
}

func TestLostAnswers(t *testing.T) {
	f := newFleet(t, 1)
	for _, desk := range f.desks {
		desk.LoseAnswers(true)
	}
	unsafe := f.do("host-0", standin.Call{Path: "/order/", Key: "secret"})
	require.Equal(t, http.StatusBadGateway, unsafe.Status, "nothing is promised")
	require.Len(t, f.runs(unsafe.ID), 1, "an unsafe request runs once")
	safe := f.do("host-0", standin.Call{Path: "/look/", Key: "secret"})
	require.Equal(t, http.StatusBadGateway, safe.Status)
	require.Len(t, f.runs(safe.ID), 2, "a safe request runs as often as its route allows")
}

func TestAnswersToOtherRequestsArePassedOver(t *testing.T) {
	f := newFleet(t, 1)
	for _, desk := range f.desks {
		desk.AnswerOthers(true)
	}
	answer := f.do("host-0", standin.Call{Path: "/order/", Key: "secret"})
	require.Equal(t, http.StatusOK, answer.Status)
	require.Equal(t, "right", answer.Body)
}

const wholeStream = "id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\nid: 3\ndata: word-3\n\nid: 4\ndata: word-4\n\nid: 5\ndata: word-5\n\n"

func TestBrokenStreamsGoOnAtAnotherUpstream(t *testing.T) {
	f := newFleet(t, 1)
	f.engines[0].BreakAt(3)
	for i := range 8 {
		answer := f.do("host-0", standin.Turn("/draft/", "secret", fmt.Sprint("p", i), "", "x"))
		require.False(t, answer.Cut)
		require.Equal(t, wholeStream, answer.Body)
	}
}

func TestStreamsThatCannotGoOnDoNotLookWhole(t *testing.T) {
	f := newFleet(t, 1)
	f.engines[0].BreakAt(3)
	f.engines[1].BreakAt(3)
	answer := f.do("host-0", standin.Turn("/chat/", "secret", "p", "", "x"))
	require.True(t, answer.Cut)
	require.Equal(t, "id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\n", answer.Body)
}

func TestUpstreamStopsWhenTheCallerLeaves(t *testing.T) {
	f := newFleet(t, 1)
	for _, engine := range f.engines {
		engine.EventPause = 300 * time.Millisecond
	}
	ctx, leave := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer leave()
	answer, err := standin.Turn("/draft/", "secret", "p", "", "x").Do(ctx, "left", f.hosts["host-0"].settings.Callers)
	require.True(t, err != nil || answer.Cut)
	time.Sleep(100 * time.Millisecond)
	require.Len(t, f.runs("left"), 1, "it is not sent again")
}

func TestKeptTurnsAreFoundByEveryHostAndAfterAllWereLost(t *testing.T) {
	f := newFleet(t, 3)
	first := f.until("host-0", standin.Turn("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	second := f.until("host-1", standin.Turn("/chat/", "secret", "p", first.ID, "two;"), http.StatusOK)
	said := "word-1\nword-2\nword-3\nword-4\nword-5\n"
	require.Equal(t, "one;"+said+"two;", f.runs(second.ID)[0].Body)

	other := f.until("host-2", standin.Turn("/chat/", "secret", "another-program", first.ID, "three;"), http.StatusOK)
	require.Equal(t, "one;"+said+"three;", f.runs(other.ID)[0].Body, "another program goes on from it")
	next := f.until("host-0", standin.Turn("/chat/", "secret", "another-program", other.ID, "four;"), http.StatusOK)
	require.Equal(t, "one;"+said+"three;"+said+"four;", f.runs(next.ID)[0].Body)

	for _, name := range f.names {
		f.kill(name)
	}
	for _, name := range f.names {
		f.start(name)
	}
	third := f.until("host-2", standin.Turn("/chat/", "secret", "p", second.ID, "five;"), http.StatusOK)
	require.Equal(t, "one;"+said+"two;"+said+"five;", f.runs(third.ID)[0].Body)
}

func TestKeptTurnsOutliveTheirOwnersInAnOutage(t *testing.T) {
	f := newFleet(t, 4)
	f.store.SetFaults(standin.Faults{Down: true})
	first := f.until("host-0", standin.Turn("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	// The host that took the turn and one more are lost before the store is back.
	f.kill("host-0")
	f.kill("host-1")
	f.start("host-0")
	f.start("host-1")
	f.store.SetFaults(standin.Faults{})
	second := f.until("host-2", standin.Turn("/chat/", "secret", "p", first.ID, "two;"), http.StatusOK)
	require.Equal(t, "one;word-1\nword-2\nword-3\nword-4\nword-5\ntwo;", f.runs(second.ID)[0].Body)
}

func TestBudgetHoldsOverAllHostsAndRestarts(t *testing.T) {
	f := newFleet(t, 3)
	turns := 0
	spend := func(name string) int {
		answer := f.do(name, standin.Turn("/draft/", "secret", "looping", "", "x"))
		if answer.Status == http.StatusOK {
			turns++
		}

		return answer.Status
	}
	deadline := time.Now().Add(patience)
	for i := 0; spend(f.names[i%3]) != http.StatusPaymentRequired; i++ {
		require.True(t, time.Now().Before(deadline))
	}
	for _, name := range f.names {
		f.kill(name)
	}
	for _, name := range f.names {
		f.start(name)
	}
	f.until("host-1", standin.Turn("/draft/", "secret", "looping", "", "x"), http.StatusPaymentRequired)
	// Each turn has five events of ten tokens.
	require.LessOrEqual(t, turns*50, 1000+100)
	require.GreaterOrEqual(t, turns*50, 850)
}

func TestBudgetHoldsForParallelTurns(t *testing.T) {
	f := newFleet(t, 3)
	var ran atomic.Int64
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			request := fmt.Sprintf("parallel-%d", i)
			answer, err := standin.Turn("/draft/", "secret", "wide", "", request).Do(context.Background(), request, f.hosts[f.names[i%3]].settings.Callers)
			if err == nil && answer.Status == http.StatusOK {
				ran.Add(1)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, ran.Load()*50, int64(1000+100))
}

func TestRatesHoldOverAllHosts(t *testing.T) {
	f := newFleet(t, 3)
	standin.Configuration{Version: 2, Keys: []string{"secret"}, Rate: 20, Burst: 20}.Write(f.store)
	f.until("host-2", standin.Call{Path: "/look/", Key: "secret", Method: http.MethodGet}, http.StatusOK)
	time.Sleep(300 * time.Millisecond)
	var admitted, refused atomic.Int64
	began := time.Now()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			for n := 0; time.Since(began) < 2*time.Second; n++ {
				request := fmt.Sprintf("rate-%d-%d", i, n)
				answer, err := standin.Call{Path: "/look/", Key: "secret"}.Do(context.Background(), request, f.hosts[f.names[i%3]].settings.Callers)
				if err == nil && answer.Status == http.StatusOK {
					admitted.Add(1)
				} else if err == nil && answer.Status == http.StatusTooManyRequests {
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	elapsed := time.Since(began).Seconds()
	require.Positive(t, refused.Load())
	require.LessOrEqual(t, float64(admitted.Load()), (20*elapsed+20)*1.1+20)
	require.GreaterOrEqual(t, float64(admitted.Load()), 20.0)
}

func TestWithdrawnKeysAndDrainingUpstreams(t *testing.T) {
	f := newFleet(t, 2)
	standin.Configuration{Version: 2, Keys: []string{"fresh"}}.Write(f.store)
	for _, name := range f.names {
		f.until(name, standin.Call{Path: "/look/", Key: "secret"}, http.StatusUnauthorized)
		f.until(name, standin.Call{Path: "/look/", Key: "fresh"}, http.StatusOK)
	}
	f.desks[0].Register(f.store, "draining")
	time.Sleep(time.Second)
	before := len(f.desks[0].Runs())
	for range 10 {
		require.Equal(t, http.StatusOK, f.do("host-0", standin.Call{Path: "/look/", Key: "fresh"}).Status)
	}
	require.Len(t, f.desks[0].Runs(), before)
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	f := newFleet(t, 1)
	f.store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(`{"version":9,"routes":[{"kind":"odd"}]}`))
	f.store.Put(platform.UpstreamsTopic, "odd", []byte(`{"service":"desk","address":7}`))
	f.store.Put(platform.UpstreamsTopic, "torn", []byte{0xff})
	time.Sleep(500 * time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusOK, f.do("host-0", standin.Call{Path: "/look/", Key: "secret"}).Status)
	}
}

func TestHostThatDrainsLeavesTheDirectoryAndCutsNothing(t *testing.T) {
	f := newFleet(t, 2)
	for _, engine := range f.engines {
		engine.EventPause = 100 * time.Millisecond
	}
	leaving := f.hosts["host-0"]
	require.Eventually(t, func() bool { return strings.Contains(f.addresses("host-1"), leaving.settings.Callers) }, patience, 20*time.Millisecond)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			request := fmt.Sprintf("drained-%d", i)
			answer, err := standin.Turn("/draft/", "secret", request, "", "x").Do(context.Background(), request, leaving.settings.Callers)
			require.NoError(t, err)
			require.Equal(t, wholeStream, answer.Body)
		})
	}
	time.Sleep(100 * time.Millisecond)
	leaving.running.Drain(context.Background())
	require.Eventually(t, func() bool { return !strings.Contains(f.addresses("host-1"), leaving.settings.Callers) }, patience, 20*time.Millisecond)
	answer := f.do("host-0", standin.Call{Path: "/look/", Key: "secret"})
	require.Equal(t, http.StatusOK, answer.Status, "what still comes is served")
	require.True(t, answer.Closes, "callers are told to connect elsewhere")
	group.Wait()
	<-leaving.done
	require.Equal(t, http.StatusOK, f.until("host-1", standin.Turn("/draft/", "secret", "after", "", "x"), http.StatusOK).Status)
}
