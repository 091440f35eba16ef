package upstreamreport_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/streamorigin"
	"cardamomward/io/upstreamclient"
	"cardamomward/io/upstreamreport"
	"cardamomward/platform/standin"
)

// plenty is more time than a caller needs to have left for the longest wait.
const plenty = time.Minute

func newReader() *upstreamreport.Reader {
	return &upstreamreport.Reader{Client: &upstreamclient.Client{}, Now: time.Now}
}

func newUpstream(t *testing.T, mode standin.ReportMode) *standin.Upstream {
	t.Helper()
	upstream := standin.NewUpstream("engine-0", "engines", 5)
	t.Cleanup(upstream.Close)
	upstream.SetReportMode(mode)

	return upstream
}

func TestReportNamesProcessAfterRestart(t *testing.T) {
	upstream, reader := newUpstream(t, standin.ReportsStart), newReader()
	first := reader.Read(t.Context(), upstream.Address(), plenty)
	require.Equal(t, streamorigin.ReportReceived, first.Kind)
	time.Sleep(150 * time.Millisecond)
	upstream.Restart("v2")
	second := reader.Read(t.Context(), upstream.Address(), plenty)
	require.Equal(t, streamorigin.ReportReceived, second.Kind, "the connection of the former process is not used")
	require.Greater(t, second.Incarnation, first.Incarnation, "the report of an earlier moment is not used")
	require.Empty(t, upstream.ExecutedRequests(), "a report is no request of a caller")
}

func TestOnlyNotFoundMeansThatUpstreamHasNoReport(t *testing.T) {
	for mode, want := range map[standin.ReportMode]streamorigin.ReportKind{
		standin.ReportsNothing:      streamorigin.ReportUnsupported,
		standin.ReportsWithoutStart: streamorigin.ReportMissing,
		standin.ReportsError:        streamorigin.ReportMissing,
		standin.ReportsSlowly:       streamorigin.ReportMissing,
	} {
		require.Equal(t, want, newReader().Read(t.Context(), newUpstream(t, mode).Address(), plenty).Kind, "mode %d", mode)
	}
	crashed := newUpstream(t, standin.ReportsStart)
	crashed.Crash()
	require.Equal(t, streamorigin.ReportMissing, newReader().Read(t.Context(), crashed.Address(), plenty).Kind)
}

// A late response to another request on the connection, such as a 404, was taken for the report.
func TestLateResponseToOtherRequestIsNoReport(t *testing.T) {
	const late = "HTTP/1.1 404 Not Found\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":7}"
	server, err := standin.NewRawServer(func(conn *net.TCPConn, _ *http.Request) {
		io.WriteString(conn, late+report) //nolint:errcheck // a test
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	read := newReader().Read(t.Context(), server.Address(), plenty)
	require.Equal(t, streamorigin.ReportReceived, read.Kind)
	require.EqualValues(t, 7, read.Incarnation)
}

func TestBrokenResponseIsNoReport(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":       "HTTP/1.1 000 None\r\nContent-Length: 10\r\n\r\n{\"born\":7}",
		"malformed 404":    "HTTP/1.1 404 Not Found\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n",
		"cut":              "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"born\":7}",
		"beyond its limit": "HTTP/1.1 200 OK\r\n\r\n{\"born\":7," + strings.Repeat(" ", 64<<10) + "\"a\":1}",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRawServer(standin.RespondWith(text))
			require.NoError(t, err)
			t.Cleanup(server.Close)
			require.Equal(t, streamorigin.ReportMissing, newReader().Read(t.Context(), server.Address(), plenty).Kind)
		})
	}
}

func TestUpstreamThatDoesNotRespondTakesFractionOfTimeLeft(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // the test is over
	for timeLeft, longest := range map[time.Duration]time.Duration{plenty: 600 * time.Millisecond, 300 * time.Millisecond: 140 * time.Millisecond, 0: 10 * time.Millisecond} {
		startedAt := time.Now()
		require.Equal(t, streamorigin.ReportMissing, newReader().Read(t.Context(), listener.Addr().String(), timeLeft).Kind)
		require.Less(t, time.Since(startedAt), longest, "%s left", timeLeft)
	}
}

func TestResumptionsOfSameMomentShareReport(t *testing.T) {
	upstream, reader := newUpstream(t, standin.ReportsStart), newReader()
	now := time.Now()
	reader.Now = func() time.Time { return now }
	var tasks sync.WaitGroup
	for range 24 {
		tasks.Go(func() {
			if report := reader.Read(t.Context(), upstream.Address(), plenty); report.Kind != streamorigin.ReportReceived {
				t.Errorf("the report is of kind %d", report.Kind)
			}
		})
	}
	tasks.Wait()
	require.Equal(t, 1, upstream.ReportCount())
	now = now.Add(100 * time.Millisecond)
	reader.Read(t.Context(), upstream.Address(), plenty)
	require.Equal(t, 2, upstream.ReportCount(), "a later moment needs another report")
}
