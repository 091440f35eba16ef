package gatewayhost_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

var (
	stressFirstSeed = flag.Uint64("stress-seed", 1, "first seed of the stress test")
	stressSeeds     = flag.Int("stress-seeds", 1, "number of seeds of the stress test")
	stressDuration  = flag.Duration("stress-duration", 3*time.Second, "how long each seed injects faults")
	stressProcesses = flag.Bool("stress-processes", false, "run each host of the stress test in a process of its own")
	stressLogs      = flag.String("stress-logs", "", "directory for the hosts' logs of the stress test")
)

const (
	// stressSettleTimeout is the time limit after the last fault for each program to continue.
	stressSettleTimeout = 15 * time.Second
	// stressDurableWait is the time limit after the last fault for all turns to be durable.
	stressDurableWait = 3 * time.Second
	// stressRetention is the retention of the test configuration's routes.
	stressRetention = time.Minute
	stressPrograms  = 24
	logTimeFormat   = "15:04:05.000"
	wholeOutput     = "word-1\nword-2\nword-3\nword-4\nword-5\n"
)

// stressRun is one seed of the stress test.
type stressRun struct {
	*testCluster

	random    *rand.Rand
	addresses []string
	// stopping is closed when the faults have ended.
	stopping chan struct{}
	// isQuiet is set while the programs send nothing.
	isQuiet  atomic.Bool
	restarts sync.WaitGroup
	// newHostLogger, processOutput and events are unset unless logs are wanted.
	newHostLogger func(name string) logr.Logger
	processOutput func(name string) io.Writer
	events        *os.File

	mu sync.Mutex
	// down are the hosts that are stopped or paused.
	down     map[string]bool
	failures []string
	// lastFaults numbers the store's faults, and backgroundFaults are those between them.
	lastFaults       int
	backgroundFaults standin.Faults
	// transcripts are the bodies that the upstreams must have received, and retainedUntil is how long a turn that was
	// answered whole must be found, by request.
	transcripts   map[string]string
	retainedUntil map[string]time.Time
}

func TestTurnsAnsweredWholeAreNeverLostNorMixedUnderRandomFaults(t *testing.T) {
	for i := range uint64(*stressSeeds) {
		seed := *stressFirstSeed + i
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runStress(t, seed) })
	}
}

func runStress(t *testing.T, seed uint64) {
	t.Helper()
	r := &stressRun{
		random:   rand.New(rand.NewPCG(seed, 0)),
		stopping: make(chan struct{}), down: make(map[string]bool),
		transcripts: make(map[string]string), retainedUntil: make(map[string]time.Time),
	}
	hostCount := 3 + r.random.IntN(6)
	lease := time.Duration(1+r.random.IntN(2)) * time.Second
	r.openLogs(seed)
	r.testCluster = newTestCluster(t, hostCount, func(c *testCluster, settings *platform.HostSettings) {
		c.newLogger, c.processOutput, c.runsProcesses = r.newHostLogger, r.processOutput, *stressProcesses
		settings.Store.MinLeaseDuration = lease
	})
	// Small hosts own slots only while few large ones are live. They are made small late because a directory's response
	// does not always list them.
	for _, name := range r.names[min(6, hostCount):] {
		r.kill(name)
		r.hosts[name].settings.CPUCores = 0.3
		r.start(name)
	}
	for _, name := range r.names {
		r.addresses = append(r.addresses, r.hosts[name].settings.CallerAddress)
	}
	var programs sync.WaitGroup
	for i := range stressPrograms {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		programs.Go(func() { r.runProgram(random, fmt.Sprintf("program-%d", i)) })
	}
	r.injectRandomFaults()
	r.restartAllHosts()
	close(r.stopping)
	programs.Wait()
	r.checkTranscripts()
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(t, r.failures, "seed %d, %d hosts", seed, hostCount)
	require.Greater(t, len(r.transcripts), 2*stressPrograms)
}

// openLogs opens the logs of a seed, if they are wanted.
func (r *stressRun) openLogs(seed uint64) {
	if *stressLogs == "" {
		return
	}
	directory := filepath.Join(*stressLogs, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		panic(err)
	}
	open := func(name string) *os.File {
		file, err := os.OpenFile(filepath.Join(directory, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}

		return file
	}
	r.events = open("events")
	r.processOutput = func(name string) io.Writer { return open(name) }
	r.newHostLogger = func(name string) logr.Logger {
		file := open(name)

		return funcr.New(func(_, args string) {
			fmt.Fprintf(file, "%s %s\n", time.Now().Format(logTimeFormat), args)
		}, funcr.Options{Verbosity: 1})
	}
}

func (r *stressRun) logEvent(format string, args ...any) {
	if r.events != nil {
		fmt.Fprintf(r.events, "%s %s\n", time.Now().Format(logTimeFormat), fmt.Sprintf(format, args...))
	}
}

func (r *stressRun) fail(format string, args ...any) {
	message := time.Now().Format(logTimeFormat) + ": " + fmt.Sprintf(format, args...)
	r.logEvent("FAILURE %s", message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, message)
}

// runProgram continues turns at random hosts until the faults have ended and a turn completes after that.
func (r *stressRun) runProgram(random *rand.Rand, program string) {
	previous, transcript := "", ""
	var whole []string
	for turn := 0; ; turn++ {
		stopping := r.isStopping()
		id, ok := r.continueTurn(random, program, previous, transcript, fmt.Sprintf("%s-%d;", program, turn))
		if !ok {
			return
		}
		previous, transcript = id, transcript+fmt.Sprintf("%s-%d;", program, turn)+wholeOutput
		whole = append(whole, id)
		if stopping {
			break
		}
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	// Another program continues from an earlier turn.
	earlier := whole[random.IntN(len(whole))]
	r.continueTurn(random, "other-"+program, earlier, r.transcriptAfter(earlier), "branch;")
}

func (r *stressRun) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// transcriptAfter returns the transcript including a turn that was answered whole.
func (r *stressRun) transcriptAfter(turn string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.transcripts[turn] + wholeOutput
}

// continueTurn sends a turn until it is answered whole and returns its id.
func (r *stressRun) continueTurn(random *rand.Rand, program, previous, transcript, input string) (string, bool) {
	var settleDeadline time.Time
	for attempt := 0; ; attempt++ {
		if settleDeadline.IsZero() && r.isStopping() {
			settleDeadline = time.Now().Add(stressSettleTimeout)
		}
		for r.isQuiet.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		request := fmt.Sprintf("stress-%d", r.requestCount.Add(1))
		r.mu.Lock()
		r.transcripts[request] = transcript + input
		r.mu.Unlock()
		host := random.IntN(len(r.addresses))
		call := standin.NewTurnRequest("/chat/", "secret", program, previous, input)
		call.Header["Token-Budget"] = "1000000"
		sentAt := time.Now().Format(logTimeFormat)
		response, err := call.Send(context.Background(), request, r.addresses[host])
		r.logEvent("%s %s after %q at %s from %s: status %d whole %v error %v", program, request, previous, r.names[host], sentAt,
			response.Status, err == nil && !response.Truncated, err)
		switch {
		case err == nil && response.Status == http.StatusOK && !response.Truncated:
			if response.Body != wholeStream {
				r.fail("%s %s: response %q", program, request, response.Body)
			}

			r.mu.Lock()
			defer r.mu.Unlock()
			r.retainedUntil[request] = time.Now().Add(stressRetention)

			return request, true
		case err == nil && response.Status == http.StatusNotFound && !r.isRetained(previous):
			r.logEvent("%s ended: %s is older than its retention", program, previous)

			return "", false
		case err == nil && response.Status == http.StatusNotFound:
			r.fail("%s %s at %s from %s: 404 for %s, which was answered whole", program, request, r.names[host], sentAt, previous)

			return "", false
		case !settleDeadline.IsZero() && time.Now().After(settleDeadline):
			r.fail("%s %s at %s: cannot continue from %s: status %d, error %v", program, request, r.names[host], previous, response.Status, err)

			return "", false
		}
		time.Sleep(time.Duration(20+random.IntN(80)) * time.Millisecond)
	}
}

// isRetained reports whether a turn that was answered whole must still be found: on a machine that stalls, a seed may take
// longer than the turns are retained.
func (r *stressRun) isRetained(turn string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return time.Now().Before(r.retainedUntil[turn])
}

// checkTranscripts checks the bodies that the upstreams received.
func (r *stressRun) checkTranscripts() {
	for _, engine := range r.engines {
		for _, executed := range engine.ExecutedRequests() {
			request := executed.Header.Get("Request-Id")
			r.mu.Lock()
			expected, ok := r.transcripts[request]
			r.mu.Unlock()
			if ok && executed.Body != expected {
				r.fail("%s: transcript %.300q instead of %.300q", request, executed.Body, expected)
			}
		}
	}
}
