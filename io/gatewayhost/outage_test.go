package gatewayhost_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// outageRun is the turns of programs that go on during an outage of the store.
type outageRun struct {
	*testCluster

	mu sync.Mutex
	// transcripts holds the transcript after each turn that was answered whole, by request.
	transcripts map[string]string
	stopping    chan struct{}
	programs    sync.WaitGroup
}

// run continues turns at random hosts until the run stops. A turn continues the last one of the same or of another program.
func (r *outageRun) run(number int, input string) {
	random := rand.New(rand.NewPCG(uint64(number), 0))
	program, previous := fmt.Sprintf("outage-%d", number), ""
	for turn := 0; ; turn++ {
		select {
		case <-r.stopping:
			return
		default:
		}
		call := standin.NewTurnRequest("/chat/", "secret", program, previous, input)
		request := fmt.Sprintf("outage-%d-%d", number, turn)
		response, err := call.Send(context.Background(), request, r.hosts[r.names[random.IntN(len(r.names))]].settings.CallerAddress)
		if err == nil && response.Status == http.StatusOK && !response.Truncated {
			r.mu.Lock()
			r.transcripts[request] = r.transcripts[previous] + input + wholeOutput
			r.mu.Unlock()
			previous = request
			if random.IntN(3) == 0 {
				program = fmt.Sprintf("outage-%d-%d", number, turn)
			}
		}
		assert.False(r.t, err == nil && response.Status == http.StatusNotFound, "%s was answered whole", previous)
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

// answered returns the number of turns that were answered whole.
func (r *outageRun) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.transcripts)
}

// missing returns the turns that were answered whole and that the store does not have.
func (r *outageRun) missing() []string {
	topic := platform.CompactedTopic("slots")
	r.mu.Lock()
	defer r.mu.Unlock()
	var turns []string
	for turn := range r.transcripts {
		if !r.store.IsStored(topic, "t"+turn) && !r.store.IsStored(topic, "q"+turn+":0") {
			turns = append(turns, turn)
		}
	}

	return turns
}

// Hosts are lost in an outage one after another, so that slots change their owners, and all hosts are lost after it. Turns were answered
// whole in the outage that no host had afterwards.
func TestTurnsOfOutageAreDurableBeforeTheyAreAnsweredWhole(t *testing.T) {
	const (
		maxRecordBytes = 16 << 10
		// The limit allows for a busy machine.
		servedWithin = 10 * time.Second
	)
	r := &outageRun{transcripts: make(map[string]string), stopping: make(chan struct{})}
	r.testCluster = newTestCluster(t, 6, func(_ *testCluster, settings *platform.HostSettings) {
		settings.Store.MaxRecordBytes = maxRecordBytes
	})
	for number := range 16 {
		input := fmt.Sprintf("input of %d;", number)
		if number%4 == 0 {
			input += strings.Repeat("x", 2*maxRecordBytes)
		}
		r.programs.Go(func() { r.run(number, input) })
	}
	time.Sleep(500 * time.Millisecond)
	r.store.SetFaults(standin.Faults{Down: true})
	for _, name := range []string{"host-0", "host-3", "host-0"} {
		time.Sleep(time.Second)
		require.Empty(t, r.missing(), "turns were answered from memory")
		r.kill(name)
		r.start(name)
	}
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, r.missing(), "turns were answered from memory")
	before := r.answered()
	r.store.SetFaults(standin.Faults{})
	endedAt := time.Now()
	require.Eventually(t, func() bool { return r.answered() >= before+16 }, servedWithin, 10*time.Millisecond)
	t.Logf("16 turns were answered whole %s after the outage", time.Since(endedAt))
	close(r.stopping)
	r.programs.Wait()
	require.Empty(t, r.missing())
	for _, name := range r.names {
		r.kill(name)
	}
	for _, name := range r.names {
		r.start(name)
	}
	for turn, transcript := range r.transcripts {
		next := r.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", "after-"+turn, turn, "next;"), http.StatusOK)
		require.Equal(t, transcript+"next;", r.executionsOf(next.RequestID)[0].Body)
	}
}
