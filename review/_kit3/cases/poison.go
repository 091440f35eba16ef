package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runPoison lets a request that crashes the runners that run it come again and again while the machines are restarted in turn.
func runPoison() (bool, error) {
	f, err := newFleet(4)
	if err != nil {
		return false, err
	}
	defer f.Close()
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a"}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 6 {
		r := f.AddRunner("desk")
		r.DownFor, r.Crashes = 2*time.Second, func(body string) bool { return body == poisonBody }
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	request := Attempt{Path: "/look/7", Key: tenant.Key, Body: poisonBody}
	type sending struct {
		node *Node
		at   time.Time
	}
	sent := make(map[string]sending)
	send := func(n *Node) {
		at := time.Now()
		answer := request.Send(n.Front)
		sent[answer.ID] = sending{n, at}
		f.Log("%s sent to %s: %d %v %s", answer.ID, n.Name, answer.Status, answer.Err, answer.Body)
	}
	// The request comes once a second, at one machine after the other, until it has crashed three runners, and then again.
	round := func(seconds int) {
		for i := range seconds {
			send(f.Nodes[i%len(f.Nodes)])
			time.Sleep(time.Second)
		}
	}
	round(8)
	if crashed := len(crashesOf(f, poisonBody)); crashed < 3 {
		return false, fmt.Errorf("the request has crashed %d runners only", crashed)
	}
	for _, n := range f.Nodes {
		if isTroubled() {
			n.Stop()
			if err := n.Start(); err != nil {
				return false, err
			}
		}
		time.Sleep(stableWindow + 1500*time.Millisecond)
		for range 4 {
			send(n)
			time.Sleep(time.Second)
		}
	}
	crashes := crashesOf(f, poisonBody)
	third := crashes[2].At
	late := make(map[string]bool)
	for _, run := range crashes[3:] {
		s := sent[run.ID]
		if run.At.Sub(third) > stableWindow {
			f.Say("%.3f s after the third crash, %s reached %s through %s", run.At.Sub(third).Seconds(), run.ID, run.Runner, s.node.Name)
			late[run.ID+run.Runner] = true
		}
	}
	f.Say("%d crashes, %d of them of retries sent later than stable_window_ms after the third; the rule allows 3", len(crashes), len(late))

	return len(late) <= 3, nil
}

func crashesOf(f *Fleet, body string) []Run {
	var runs []Run
	for _, run := range sortedRuns(f) {
		if run.Body == body {
			runs = append(runs, run)
		}
	}

	return runs
}

// poisonCase is a request that crashes the runners that run it, and that comes again and again at one machine after the other.
type poisonCase struct {
	// isLate is set if the runners have sent a part of their answers before they crash, and isBusy if there is other traffic.
	isLate, isBusy bool
	every          time.Duration
	times          int
	body           string
}

// runPoisonLate lets the runners crash while they send their answers.
func runPoisonLate() (bool, error) {
	return poisonCase{isLate: true, every: time.Second, times: 30, body: troubledBody()}.run()
}

// runPoisonEarly lets the runners crash before they answer.
func runPoisonEarly() (bool, error) {
	return poisonCase{every: time.Second, times: 30, body: troubledBody()}.run()
}

// runPoisonBusy lets the request come among other requests, which keep connections to all runners open. Without the trouble it crashes none.
func runPoisonBusy() (bool, error) {
	return poisonCase{isBusy: true, every: 5 * time.Second, times: 8, body: troubledBody()}.run()
}

const poisonBody = "poison"

// troubledBody returns the body of a request that crashes runners, or of a harmless one if the disruption is left out.
func troubledBody() string {
	if isTroubled() {
		return poisonBody
	}

	return "harmless"
}

func (p poisonCase) run() (bool, error) {
	f, err := newFleet(4)
	if err != nil {
		return false, err
	}
	defer f.Close()
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a"}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 6 {
		r := f.AddRunner("desk")
		r.DownFor, r.Crashes, r.CrashesLate = 2*time.Second, func(body string) bool { return body == poisonBody }, p.isLate
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	if p.isBusy {
		stop := startTraffic(f, tenant.Key)
		defer stop()
		time.Sleep(3 * time.Second)
	}
	request := Attempt{Path: "/look/7", Key: tenant.Key, Body: p.body}
	for i := range p.times {
		n := f.Nodes[i%len(f.Nodes)]
		answer := request.Send(n.Front)
		f.Log("%s (%s) sent to %s: %d %v %s", answer.ID, p.body, n.Name, answer.Status, answer.Err, refusal(answer))
		time.Sleep(p.every)
	}
	crashes := crashesOf(f, poisonBody)
	late := 0
	for i, run := range crashes {
		if i >= 3 && run.At.Sub(crashes[2].At) > stableWindow {
			late++
		}
	}
	f.Say("%d crashes, %d of them of retries sent later than stable_window_ms after the third; the rule allows 3", len(crashes), late)

	return late <= 3, nil
}

// startTraffic starts clients that send plain requests to all machines on kept connections, and returns a function that ends them.
func startTraffic(f *Fleet, key string) (stop func()) {
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.Nodes {
		for i := range 4 {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for number := 0; ; number++ {
					select {
					case <-stopped:
						return
					case <-time.After(50 * time.Millisecond):
					}
					answer := Attempt{Method: http.MethodGet, Path: fmt.Sprintf("/look/%d-%d", i, number), Key: key, Client: client}.Send(n.Front)
					f.Log("%s sent to %s: %d %v", answer.ID, n.Name, answer.Status, answer.Err)
				}
			})
		}
	}

	return func() {
		close(stopped)
		clients.Wait()
	}
}
