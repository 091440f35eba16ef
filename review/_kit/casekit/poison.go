package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/review/_kit/harness"
)

const (
	poisonHosts = 5
	// rolledHosts of them are stopped and started in turn: a share of 0.4.
	rolledHosts = 2
	deskRunners = 6
	// runnerRestart is how long a crashed runner is away: "the runner is back after some seconds".
	runnerRestart = 2 * time.Second
	// runnerSilence is after how long the entry of a crashed runner is removed: three heartbeat intervals of 1.2 s.
	runnerSilence = 3600 * time.Millisecond
	poisonBody    = "a body that crashes what runs it"
)

// deskPool holds the runners of the service desk, which crash when they begin to run poisonBody.
type deskPool struct {
	record *harness.Record
	store  *standin.Store
	mu     sync.Mutex
	number int
	alive  map[string]*standin.Upstream
	// reaches are the times at which the request that crashes runners began to run.
	reaches []time.Time
	crashes []time.Time
}

func (d *deskPool) startRunner() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	u := standin.NewUpstream(fmt.Sprintf("i-desk-%d", d.number), "desk", 0)
	inner := u.Config.Handler
	u.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(u.ID, inner, w, r) })
	d.alive[u.ID] = u
	u.Register(d.store, "ready")
	d.record.Write("%s: registered at %s", u.ID, u.Address())
}

func (d *deskPool) serve(id string, inner http.Handler, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) == poisonBody {
		d.record.Write("%s: began to run %s, which crashes it", id, r.Header.Get("Request-Id"))
		d.crash(id)
		panic(http.ErrAbortHandler)
	}
	d.record.Write("%s: got %s", id, r.Header.Get("Request-Id"))
	r.Body = io.NopCloser(bytes.NewReader(body))
	inner.ServeHTTP(w, r)
}

// crash ends a runner; another one is there after runnerRestart, and the entry of the old one goes after runnerSilence.
func (d *deskPool) crash(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.reaches, d.crashes = append(d.reaches, now), append(d.crashes, now)
	u := d.alive[id]
	delete(d.alive, id)
	go u.Crash()
	time.AfterFunc(runnerRestart, d.startRunner)
	time.AfterFunc(runnerSilence, func() {
		u.Deregister(d.store)
		d.record.Write("%s: entry removed", id)
	})
}

func (d *deskPool) counts() (reaches, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.reaches {
		if len(d.crashes) >= 3 && at.Sub(d.crashes[2]) > harness.StableWindow {
			late++
		}
	}

	return len(d.reaches), late
}

// playPoison lets a request crash three runners, then stops and starts hosts in turn, and sends the request again to each of these once
// it has been in touch.
func playPoison(ctx context.Context, record *harness.Record) (bool, error) {
	fleet, err := harness.NewFleet(record, poisonHosts)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	standin.Configuration{Version: 1, APIKeys: []string{harness.Key}}.WriteToStore(fleet.Store)
	pool := &deskPool{record: record, store: fleet.Store, alive: make(map[string]*standin.Upstream)}
	for range deskRunners {
		pool.startRunner()
	}
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	send := func(h *harness.Host, body string) int {
		id := harness.NewRequestID()
		status, _, text, _ := harness.Post(ctx, h.CallerAddress(), "/order/1", map[string]string{"Request-Id": id}, body)
		record.Write("%s by %s: status %d %s", id, h.Name, status, strings.TrimSpace(text))

		return status
	}
	for _, h := range fleet.Hosts {
		if status := send(h, "a sound body"); status != http.StatusOK {
			return false, fmt.Errorf("a sound request was answered %d", status)
		}
	}
	for try := 0; ; try++ {
		if reaches, _ := pool.counts(); reaches >= 3 {
			break
		}
		if try > 6 {
			return false, fmt.Errorf("the request did not crash three runners")
		}
		send(fleet.Hosts[try%len(fleet.Hosts)], poisonBody)
		harness.Sleep(ctx, 2*time.Second)
	}
	record.Say("the request has crashed three runners")
	harness.Sleep(ctx, harness.StableWindow+time.Second)
	for _, h := range fleet.Hosts {
		send(h, poisonBody)
	}
	_, late := pool.counts()
	record.Say("later than the stable window it has reached %d runners", late)
	for _, h := range fleet.Hosts[:rolledHosts] {
		if harness.IsTroubled() {
			record.Say("%s is stopped and started", h.Name)
			h.Terminate()
			harness.Sleep(ctx, time.Second)
			if err := h.Start(); err != nil {
				return false, err
			}
			if err := h.AwaitReady(ctx); err != nil {
				return false, err
			}
		}
		harness.Sleep(ctx, harness.StableWindow+time.Second)
		for range 4 {
			send(h, poisonBody)
			harness.Sleep(ctx, runnerRestart)
		}
	}
	_, late = pool.counts()
	record.Say("BUDGET: the request that crashed three runners has reached %d runners later than the stable window; more than 3 break the rule", late)

	return late > 3, nil
}
