package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// longLease makes memberships outlast a test, so that slots move only by what the hosts do.
func longLease(_ *fleet, settings *platform.Host) { settings.Store.MinLease = time.Hour }

func TestHostThatTheStoreTurnsAwayGoesOnByWayOfAPeer(t *testing.T) {
	f := newFleet(t, 3)
	first := f.until("host-1", standin.Turn("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	f.doors["host-0"].SetClosed(true)
	// What is in force still reaches the host, and what it owns becomes durable.
	standin.Configuration{Version: 2, Keys: []string{"newer"}}.Write(f.store)
	f.until("host-0", standin.Call{Path: "/look/", Key: "secret"}, http.StatusUnauthorized)
	for i := range 24 {
		program := fmt.Sprintf("relayed-%d", i)
		turn := f.until("host-0", standin.Turn("/chat/", "newer", program, "", "one;"), http.StatusOK)
		f.until("host-2", standin.Turn("/chat/", "newer", program, turn.ID, "two;"), http.StatusOK)
	}
	second := f.until("host-0", standin.Turn("/chat/", "newer", "p", first.ID, "two;"), http.StatusOK)
	require.Equal(t, "one;word-1\nword-2\nword-3\nword-4\nword-5\ntwo;", f.runs(second.ID)[0].Body)
	f.doors["host-0"].SetClosed(false)
	f.until("host-0", standin.Turn("/chat/", "newer", "p", second.ID, "three;"), http.StatusOK)
}

func TestSilentOwnersAreReplacedBeforeTheirLeasesEnd(t *testing.T) {
	f := newFleet(t, 4, longLease)
	first := make(map[string]standin.Answer)
	for i := range 24 {
		program := fmt.Sprintf("program-%d", i)
		first[program] = f.until("host-1", standin.Turn("/chat/", "secret", program, "", "one;"), http.StatusOK)
	}
	f.kill("host-0")
	for program, turn := range first {
		f.until("host-2", standin.Turn("/chat/", "secret", program, turn.ID, "two;"), http.StatusOK)
	}
}

func TestHostThatIsCutOffNamesTheOthers(t *testing.T) {
	f := newFleet(t, 3, longLease)
	f.kill("host-1")
	f.kill("host-2")
	// The store still takes the others for owners, and the host hears neither.
	require.Eventually(t, func() bool {
		addresses := f.addresses("host-0")

		return !strings.Contains(addresses, f.hosts["host-0"].settings.Callers) &&
			strings.Contains(addresses, f.hosts["host-1"].settings.Callers)
	}, patience, 20*time.Millisecond)
	answer := f.do("host-0", standin.Turn("/draft/", "secret", "p", "", "x"))
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	require.True(t, answer.Closes, "callers are told to connect elsewhere")
	f.start("host-1")
	f.start("host-2")
	f.ready()
	f.until("host-0", standin.Turn("/draft/", "secret", "p", "", "x"), http.StatusOK)
}

func TestHostThatDrainsInAnOutageServesItsPrograms(t *testing.T) {
	f := newFleet(t, 3, func(_ *fleet, settings *platform.Host) { settings.Bounds.Grace = 10 * time.Second })
	f.store.SetFaults(standin.Faults{Down: true})
	f.hosts["host-0"].running.Drain(context.Background())
	for i := range 24 {
		f.until("host-1", standin.Turn("/draft/", "secret", fmt.Sprintf("program-%d", i), "", "x"), http.StatusOK)
	}
	f.store.SetFaults(standin.Faults{})
	<-f.hosts["host-0"].done
	for i := range 24 {
		f.until("host-1", standin.Turn("/draft/", "secret", fmt.Sprintf("program-%d", i), "", "x"), http.StatusOK)
	}
}

func TestWhatWasKeptInAnOutageIsWrittenOverASlowLink(t *testing.T) {
	// A full batch takes longer than a call of a healthy store may.
	const link = 1 << 20
	f := newFleet(t, 2, func(_ *fleet, settings *platform.Host) { settings.LinkBytes = 4 * link })
	f.store.SetFaults(standin.Faults{Down: true})
	input := strings.Repeat("x", 60_000)
	turns := make(map[string]standin.Answer)
	for i := range 60 {
		program := fmt.Sprintf("program-%d", i)
		turns[program] = f.until("host-0", standin.Turn("/chat/", "secret", program, "", input), http.StatusOK)
	}
	f.store.SetFaults(standin.Faults{BytesPerSecond: link})
	for program, turn := range turns {
		f.until("host-1", standin.Turn("/chat/", "secret", program, turn.ID, "two;"), http.StatusOK)
	}
	f.kill("host-0")
	f.kill("host-1")
	f.start("host-1")
	for program, turn := range turns {
		f.until("host-1", standin.Turn("/chat/", "secret", program, turn.ID, "three;"), http.StatusOK)
	}
}

func TestSlotsOfAnOwnerThatIsLostInAnOutageAreActedFor(t *testing.T) {
	f := newFleet(t, 4)
	begun := make(map[string]standin.Answer)
	for i := range 24 {
		program := fmt.Sprintf("begun-%d", i)
		begun[program] = f.until("host-1", standin.Turn("/draft/", "secret", program, "", "x"), http.StatusOK)
	}
	f.store.SetFaults(standin.Faults{Down: true})
	f.kill("host-0")
	for program := range begun {
		f.until("host-2", standin.Turn("/draft/", "secret", program, "", "x"), http.StatusOK)
	}
	kept := make(map[string]standin.Answer)
	for i := range 24 {
		program := fmt.Sprintf("new-%d", i)
		kept[program] = f.until("host-2", standin.Turn("/chat/", "secret", program, "", "one;"), http.StatusOK)
		f.until("host-3", standin.Turn("/chat/", "secret", program, kept[program].ID, "two;"), http.StatusOK)
	}
	f.store.SetFaults(standin.Faults{})
	for program, turn := range kept {
		f.until("host-1", standin.Turn("/chat/", "secret", program, turn.ID, "three;"), http.StatusOK)
	}
}

func TestBudgetHoldsWhereAnOwnerIsLostInAnOutage(t *testing.T) {
	f := newFleet(t, 4)
	turns := 0
	spend := func(name string) int {
		answer := f.do(name, standin.Turn("/draft/", "secret", "looping", "", "x"))
		if answer.Status == http.StatusOK {
			turns++
		}

		return answer.Status
	}
	for i := 0; turns < 6; i++ {
		spend(f.names[i%4])
	}
	f.store.SetFaults(standin.Faults{Down: true})
	f.kill("host-1")
	deadline := time.Now().Add(patience)
	for i := 0; spend(f.names[2*(i%2)]) != http.StatusPaymentRequired; i++ {
		require.True(t, time.Now().Before(deadline))
	}
	f.store.SetFaults(standin.Faults{})
	f.until("host-3", standin.Turn("/draft/", "secret", "looping", "", "x"), http.StatusPaymentRequired)
	// Each turn has five events of ten tokens.
	require.LessOrEqual(t, turns*50, 1000+100)
}

func TestSlotsWhosePartitionIsDownAreServed(t *testing.T) {
	f := newFleet(t, 3)
	// The followed topics have one partition, 0.
	f.store.SetFaults(standin.Faults{DownParts: []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}})
	kept := make(map[string]standin.Answer)
	for i := range 24 {
		program := fmt.Sprintf("program-%d", i)
		kept[program] = f.until("host-0", standin.Turn("/chat/", "secret", program, "", "one;"), http.StatusOK)
		kept[program] = f.until("host-1", standin.Turn("/chat/", "secret", program, kept[program].ID, "two;"), http.StatusOK)
	}
	f.kill("host-0")
	for program, turn := range kept {
		kept[program] = f.until("host-2", standin.Turn("/chat/", "secret", program, turn.ID, "three;"), http.StatusOK)
	}
	f.store.SetFaults(standin.Faults{})
	for program, turn := range kept {
		f.until("host-1", standin.Turn("/chat/", "secret", program, turn.ID, "four;"), http.StatusOK)
	}
}

func TestRequestsThatRunOutOfTimeAreNotTakenForCulprits(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 2 {
		engine := standin.NewUpstream(fmt.Sprintf("engine-more-%d", i), "engines", 5)
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
		engine.Register(f.store, "ready")
	}
	for _, engine := range f.engines {
		engine.EventPause = 100 * time.Millisecond
	}
	for i := range 16 {
		// Programs and prompts differ, so that the upstreams take turns.
		hurried := standin.Turn("/draft/", "secret", fmt.Sprintf("hurried-%d", i), "", "the same body")
		hurried.Header["Time-Remaining-Ms"] = "250"
		hurried.Header["Prompt-Prefix"] = fmt.Sprintf("a%d:400,b%d:100", i, i)
		answer := f.do("host-0", hurried)
		require.True(t, answer.Cut, "the stream ends with the caller's time")
	}
	used := make(map[string]bool)
	for _, engine := range f.engines {
		for _, ran := range engine.Runs() {
			if ran.Body == "the same body" {
				used[fmt.Sprint(engine)] = true
			}
		}
	}
	require.GreaterOrEqual(t, len(used), 3, "a culprit would be convicted after three upstreams")
	patient := standin.Turn("/draft/", "secret", "patient", "", "the same body")
	require.Equal(t, wholeStream, f.until("host-0", patient, http.StatusOK).Body)
}

func TestPartOfTheFleetThatIsCutOffRefuses(t *testing.T) {
	f := newFleet(t, 5)
	for _, name := range f.names[:2] {
		f.doors[name].SetClosed(true)
	}
	// To the two hosts, the loss of the others is the same as a cut.
	for _, name := range f.names[2:] {
		f.kill(name)
	}
	refused := func() bool {
		for i := range 24 {
			answer := f.do("host-0", standin.Turn("/chat/", "secret", fmt.Sprintf("program-%d", i), "", "one;"))
			if answer.Status != http.StatusServiceUnavailable {
				return false
			}
		}

		return true
	}
	require.Eventually(t, refused, patience, 20*time.Millisecond)
	for range 3 {
		require.True(t, refused(), "the others may go on without these two")
	}
	for _, name := range f.names[:2] {
		f.doors[name].SetClosed(false)
	}
	for i := range 24 {
		f.until("host-0", standin.Turn("/chat/", "secret", fmt.Sprintf("program-%d", i), "", "one;"), http.StatusOK)
	}
}

func TestUpstreamsWhoseEntriesLapsedInAnOutageServeOn(t *testing.T) {
	f := newFleet(t, 1)
	f.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	// The leases of the entries have run out by the store's return, and the upstreams write the same entries again.
	for _, upstream := range append(append([]*standin.Upstream(nil), f.engines...), f.desks...) {
		f.store.Put(platform.UpstreamsTopic, upstream.ID, nil)
	}
	f.store.SetFaults(standin.Faults{})
	time.Sleep(time.Second)
	for _, upstream := range append(append([]*standin.Upstream(nil), f.engines...), f.desks...) {
		upstream.Register(f.store, "ready")
	}
	f.until("host-0", standin.Call{Path: "/look/", Key: "secret"}, http.StatusOK)
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		require.Equal(t, http.StatusOK, f.do("host-0", standin.Call{Path: "/look/", Key: "secret"}).Status)
	}
}

func TestSlotIsReadThoughItsPagesTakeLong(t *testing.T) {
	f := newFleet(t, 2, func(_ *fleet, settings *platform.Host) { settings.LinkBytes = 100e6 })
	input := strings.Repeat("x", 60_000)
	turn := f.until("host-0", standin.Turn("/chat/", "secret", "p", "", input), http.StatusOK)
	for range 11 {
		turn = f.until("host-0", standin.Turn("/chat/", "secret", "p", turn.ID, input), http.StatusOK)
	}
	f.kill("host-0")
	f.kill("host-1")
	// A page of the slot takes half a second, much longer than a call of a healthy store.
	f.store.SetFaults(standin.Faults{AnswerBytesPerSecond: 2 << 20})
	f.start("host-1")
	f.until("host-1", standin.Turn("/chat/", "secret", "p", turn.ID, "last;"), http.StatusOK)
}
