package gatewayhost_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
)

// graceAfterOutage is longer than a host defers the removals that it reads after an outage of the store.
const graceAfterOutage = 2500 * time.Millisecond

// readWait is longer than the store holds a read open.
const readWait = 1200 * time.Millisecond

// setAttempts sets the number of upstreams that may run a request.
func (c *testCluster) setAttempts(attempts int) {
	standin.Configuration{Version: 2, APIKeys: []string{"secret"}, MaxAttempts: attempts}.WriteToStore(c.store)
	time.Sleep(registrationDelay)
}

// serveBothVersions adds engines of the newer version, as many as there are of the initial one, and allows three attempts.
func (c *testCluster) serveBothVersions() {
	c.t.Helper()
	c.addEngines(newerVersion, 2)
	c.setAttempts(3)
}

// removeInitialVersion replaces the engines of the initial version by engines of the newer one and removes their registrations.
func (c *testCluster) removeInitialVersion() {
	c.t.Helper()
	c.addEngines(newerVersion, 2)
	crash(c.engines[:2]...)
	for _, engine := range c.engines[:2] {
		engine.Deregister(c.store)
	}
	time.Sleep(registrationDelay)
}

// restart kills hosts at once and starts them again one after another.
func (c *testCluster) restart(pause time.Duration, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.kill(name)
	}
	for _, name := range names {
		c.start(name)
		time.Sleep(pause)
	}
}

// omitAttempts makes the callers of streams name no attempt.
func omitAttempts(streams []*standin.CallerStream) {
	for _, stream := range streams {
		stream.OmitsAttempt = true
	}
}

// requireWholeTexts requires that no stream has events of two versions, and that each complete one is the text of one version
// byte by byte.
func (c *testCluster) requireWholeTexts(streams []*standin.CallerStream) {
	c.t.Helper()
	requireUnmixed(c.t, streams)
	texts := []string{
		standin.StreamText(standin.InitialVersion, c.engines[0].EventCount), standin.StreamText(newerVersion, c.engines[0].EventCount),
	}
	for _, stream := range streams {
		if stream.IsComplete {
			require.Contains(c.t, texts, stream.Events)
		}
	}
}

func TestResumedStreamsAreNotSplicedAfterLossOfHosts(t *testing.T) {
	for name, lose := range map[string]func(c *testCluster){
		"all at once":           func(c *testCluster) { c.restart(0, c.names...) },
		"all, one by one again": func(c *testCluster) { c.restart(700*time.Millisecond, c.names...) },
		"those that knew":       func(c *testCluster) { c.restart(0, c.names[:4]...) },
		"a part":                func(c *testCluster) { c.restart(0, c.names[:2]...) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 5)
			c.serveBothVersions()
			streams := c.newStreams()
			c.receiveEvents(streams, 1, c.names[:2]...)
			lose(c)
			c.engines[0].BreakStreamsAtEvent(4)
			c.engines[2].BreakStreamsAtEvent(4)
			crash(c.engines[1])
			c.attemptAll(streams, c.names...)
			c.attemptAll(streams, c.names[2:]...)
			c.takeUpAll(streams, c.names...)
			c.requireWholeTexts(streams)
		})
	}
}

func TestStreamWithoutAttemptIsNotContinuedByHostThatHasJustStarted(t *testing.T) {
	c := newTestCluster(t, 3)
	streams := c.newStreams()
	c.receiveEvents(streams, 2, c.names...)
	c.removeInitialVersion()
	omitAttempts(streams)
	c.restart(0, c.names...)
	c.takeUpAll(streams, c.names...)
	c.requireWholeTexts(streams)
}

func TestStreamWithoutAttemptIsNotContinuedAfterRemovalOfItsVersion(t *testing.T) {
	c := newTestCluster(t, 2)
	streams := c.newStreams()
	c.receiveEvents(streams, 2, c.names...)
	c.removeInitialVersion()
	omitAttempts(streams)
	c.takeUpAll(streams, c.names...)
	c.requireWholeTexts(streams)
}

func TestStreamOfRouteThatIsNotResumableIsNotContinuedAtOtherVersion(t *testing.T) {
	c := newTestCluster(t, 2)
	streams := c.newStreams()
	for _, stream := range streams {
		stream.Request.Path = "/chat/"
	}
	c.receiveEvents(streams, 2, c.names...)
	c.removeInitialVersion()
	c.takeUpAll(streams, c.names...)
	c.requireWholeTexts(streams)
}

// beginAtRestartedEngine restarts engine-0 with the newer version while hosts cannot read its registration, and begins streams
// there, which the hosts take for streams of the initial version.
func (c *testCluster) beginAtRestartedEngine() []*standin.CallerStream {
	c.t.Helper()
	c.store.SetFaults(standin.Faults{Down: true})
	// Reads that began before the outage return what is written meanwhile.
	time.Sleep(readWait)
	c.engines[0].Restart(newerVersion)
	c.engines[0].Register(c.store, "ready")
	c.engines[1].SetOverloaded(true)
	streams := c.newStreams()
	c.receiveEvents(streams, 2, "host-0")
	c.engines[1].SetOverloaded(false)
	for _, stream := range streams {
		require.Equal(c.t, []string{newerVersion}, stream.Versions())
	}

	return streams
}

func TestStreamOfRestartedUpstreamThatWasRemovedIsNotContinued(t *testing.T) {
	c := newTestCluster(t, 2)
	streams := c.beginAtRestartedEngine()
	crash(c.engines[0])
	c.engines[0].Deregister(c.store)
	c.store.SetFaults(standin.Faults{})
	time.Sleep(registrationDelay + graceAfterOutage)
	// The first request after the deferral applies the removal.
	for _, name := range c.names {
		require.Equal(t, http.StatusOK, c.do(name, newDraft(c.requestCount.Add(1))).Status)
	}
	c.takeUpAll(streams, c.names...)
	c.requireWholeTexts(streams)
}

func TestStreamOfRestartedUpstreamThatWasRemovedIsNotContinuedByHostThatHasJustStarted(t *testing.T) {
	c := newTestCluster(t, 3)
	streams := c.beginAtRestartedEngine()
	crash(c.engines[0])
	c.engines[0].Deregister(c.store)
	c.store.SetFaults(standin.Faults{})
	// The listing of a host that starts shows neither the restart nor the removal; its peers know the recorded version.
	c.restart(registrationDelay, "host-2")
	c.takeUpAll(streams, "host-2")
	c.requireWholeTexts(streams)
}

func TestStreamOfRestartedUpstreamIsNotContinuedAtOtherVersionDuringOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	streams := c.beginAtRestartedEngine()
	crash(c.engines[0])
	c.takeUpAll(streams, "host-1")
	c.requireWholeTexts(streams)
}

func TestStreamThatNoHostKnowsIsRefusedWithoutRetryAfter(t *testing.T) {
	c := newTestCluster(t, 3)
	c.serveBothVersions()
	streams := c.newStreams()
	c.receiveEvents(streams, 2, c.names...)
	c.restart(0, c.names...)
	c.waitReady()
	for _, stream := range streams {
		response, err := c.attempt("host-0", stream, 0)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.Status)
		require.Empty(t, response.Header.Get("Retry-After"), "a retry does not help")
		require.Empty(t, c.executionsOf(response.RequestID), "a 503 means that the request was not executed")
	}
}

func TestStreamThatLostHostMayKnowIsRefusedWithRetryAfter(t *testing.T) {
	c := newTestCluster(t, 3)
	c.serveBothVersions()
	streams := c.newStreams()
	c.receiveEvents(streams, 2, c.names...)
	c.kill("host-1")
	c.restart(0, "host-0", "host-2")
	c.doUntilStatus("host-0", newLookup(0), http.StatusOK)
	requireRetryAfter := func() {
		for _, stream := range streams {
			response, err := c.attempt("host-0", stream, 0)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.Status)
			require.NotEmpty(t, response.Header.Get("Retry-After"), "the answer of host-1 is missing")
		}
	}
	requireRetryAfter()
	// The lost host is not asked any more.
	time.Sleep(3 * time.Second)
	requireRetryAfter()
}
