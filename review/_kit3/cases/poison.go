package main

import (
	"fmt"
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
	const poison = "poison"
	for range 6 {
		r := f.AddRunner("desk")
		r.DownFor, r.Crashes = 2*time.Second, func(body string) bool { return body == poison }
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(4 * time.Second); err != nil {
		return false, err
	}
	request := Attempt{Path: "/look/7", Key: tenant.Key, Body: poison, Deadline: 2 * time.Second}
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
	if crashed := len(crashesOf(f, poison)); crashed < 3 {
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
	crashes := crashesOf(f, poison)
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
