package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

func sortedRuns(f *Fleet) []Run {
	runs := f.AllRuns()
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })

	return runs
}

// quotaCase is a tenant that sends more than its limit while the machines are restarted in turn.
type quotaCase struct {
	machines int
	tenant   Tenant
	// offered is how many requests the tenant sends a second.
	offered float64
	// hasPrograms is set if programs have run before, so that the system has records of each partition of its own topic.
	hasPrograms bool
	// gap is the time between two machines that get SIGTERM.
	gap time.Duration
	// before is how long the tenant has sent requests when the first machine gets SIGTERM.
	before time.Duration
	// hotFor is how long the tenant sends, zero until the end.
	hotFor time.Duration

	mu *sync.Mutex
	// sentAt is when each request was sent.
	sentAt map[string]time.Time
}

// runQuotaFresh restarts the machines in turn before any program has run.
func runQuotaFresh() (bool, error) {
	return quotaCase{
		machines: 6, tenant: Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a", Rate: 120, Burst: 120}, offered: 300, gap: time.Second, before: time.Second, hotFor: 6500 * time.Millisecond,
	}.run()
}

// runQuotaRoll restarts the machines in turn after programs have run.
func runQuotaRoll() (bool, error) {
	return quotaCase{
		machines: 12, tenant: Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a", Rate: 16, Burst: 16}, offered: 75, hasPrograms: true, gap: time.Second, before: 8 * time.Second,
	}.run()
}

func (q quotaCase) run() (bool, error) {
	q.mu, q.sentAt = &sync.Mutex{}, make(map[string]time.Time)
	f, err := newFleet(q.machines)
	if err != nil {
		return false, err
	}
	defer f.Close()
	other := Tenant{Name: "wuno96b", Key: "nu6wsjnbanfqasnmgkcu"}
	f.Configure(1, []Tenant{q.tenant, other}, retentionS)
	for _, service := range []string{"desk", "desk", "desk", "desk", "engines"} {
		if err := f.AddRunner(service).Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(5 * time.Second); err != nil {
		return false, err
	}
	if q.hasPrograms {
		for i := range 60 {
			if answer, _ := runTurn(f.Nodes[i%q.machines], other.Key, fmt.Sprintf("p%d", i), 3000); answer.Status != http.StatusOK {
				return false, fmt.Errorf("a turn was answered %d: %w", answer.Status, answer.Err)
			}
		}
	}
	stop := sync.OnceFunc(q.startClients(f))
	if q.hotFor > 0 {
		time.AfterFunc(q.hotFor, stop)
	}
	time.Sleep(q.before)
	var restarts sync.WaitGroup
	for _, n := range f.Nodes {
		if isTroubled() {
			restarts.Go(func() {
				n.Stop()
				if err := n.Start(); err != nil {
					f.Log("%s does not start: %v", n.Name, err)
				}
			})
		}
		time.Sleep(q.gap)
	}
	restarts.Wait()
	time.Sleep(5 * time.Second)
	stop()
	var passed []passage
	for _, run := range sortedRuns(f) {
		if run.Tenant == q.tenant.Name {
			passed = append(passed, passage{sentAt: q.sentAt[run.ID], arrivedAt: run.At})
		}
	}
	most, at := largestWindow(passed, quotaWindow)
	limit := (q.tenant.Rate*quotaWindow.Seconds()+q.tenant.Burst)*(1+quotaOvershoot) + quotaSlack
	f.Say("%d requests of the tenant ran, at most %d both sent and arrived in %v, from %.3f s on; the limit is %.1f", len(passed), most, quotaWindow, at.Sub(f.began).Seconds(), limit)

	return float64(most) <= limit, nil
}

// startClients starts the tenant's clients, which follow the directory, and returns a function that ends them.
func (q quotaCase) startClients(f *Fleet) (stop func()) {
	const clientCount = 24
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientCount {
		directory := &Directory{fleet: f}
		clients.Go(func() {
			for number := 0; ; number++ {
				pause := time.Duration(rand.ExpFloat64() * clientCount / q.offered * float64(time.Second))
				select {
				case <-stopped:
					return
				case <-time.After(pause):
				}
				clients.Go(func() {
					front := directory.Pick()
					if front == "" {
						return
					}
					sentAt := time.Now()
					answer := Attempt{Method: http.MethodGet, Path: fmt.Sprintf("/look/%d-%d", i, number), Key: q.tenant.Key}.Send(front)
					q.mu.Lock()
					q.sentAt[answer.ID] = sentAt
					q.mu.Unlock()
					if answer.Status == 0 {
						directory.Failed(front)
					}
					f.Log("%s sent to %s: %d %v", answer.ID, front, answer.Status, answer.Err)
				})
			}
		})
	}

	return func() {
		close(stopped)
		clients.Wait()
	}
}
