package gatewayhost_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// logRecorder keeps the log lines of all hosts.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *logRecorder) newLogger(string) logr.Logger {
	return funcr.New(func(_, line string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lines = append(r.lines, line)
	}, funcr.Options{})
}

// find returns the line of an event that names a request, or an empty string.
func (r *logRecorder) find(event, request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if strings.Contains(line, `"msg"="`+event+`"`) && strings.Contains(line, `"request"="`+request+`"`) {
			return line
		}
	}

	return ""
}

// contains reports whether a line of an event was logged.
func (r *logRecorder) contains(event string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.ContainsFunc(r.lines, func(line string) bool { return strings.Contains(line, `"msg"="`+event+`"`) })
}

func TestLostAttemptIsLoggedWithWhyItsUpstreamCountsAsEnded(t *testing.T) {
	for name, tt := range map[string]struct {
		fail func(*standin.Upstream)
		want string
	}{
		"running": {func(engine *standin.Upstream) { engine.CloseClientConnections() }, `"ended"="" "executed"=1 "allowed"=1 "again"=false`},
		"ended":   {func(engine *standin.Upstream) { engine.Crash() }, `"ended"="unreachable" "executed"=1 "allowed"=1 "again"=true`},
	} {
		t.Run(name, func(t *testing.T) {
			var logs logRecorder
			c := newTestCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) { c.newLogger = logs.newLogger })
			standin.Configuration{Version: 2, APIKeys: []string{"secret"}, MaxAttempts: 1}.WriteToStore(c.store)
			time.Sleep(registrationDelay)
			c.slowStreams(200 * time.Millisecond)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, err := standin.NewTurnRequest("/draft/", "secret", "p", "", "x").Send(context.Background(), "lost", c.hosts["host-0"].settings.CallerAddress)
				assert.NoError(t, err)
			}()
			require.Eventually(t, func() bool { return len(c.executionsOf("lost")) == 1 }, waitTimeout, 5*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			for _, engine := range c.engines {
				for _, executed := range engine.ExecutedRequests() {
					if executed.Header.Get("Request-Id") == "lost" {
						tt.fail(engine)
					}
				}
			}
			<-done
			require.Contains(t, logs.find("attempt-lost", "lost"), tt.want)
			require.Eventually(t, func() bool { return strings.Contains(logs.find("request", "lost"), `"budget"=1000`) }, waitTimeout, 5*time.Millisecond)
		})
	}
}
