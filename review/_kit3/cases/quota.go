package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cardamomward/core/id"
)

func sortedRuns(f *Fleet) []Run {
	runs := f.AllRuns()
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })

	return runs
}

func envFloat(name string, value float64) float64 {
	if parsed, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return parsed
	}

	return value
}

// runQuota lets a tenant send more than its limit while the machine that keeps its rate freezes for a moment again and again, or while
// the machines that keep it are killed one after the other.
func runQuota() (bool, error) {
	nodes := int(envFloat("NODES", 10))
	f, err := newFleet(nodes)
	if err != nil {
		return false, err
	}
	defer f.Close()
	tenant := Tenant{Name: "hule930", Key: "3fexd9dnn2ctnfzs989a", Rate: envFloat("RATE", 4), Burst: envFloat("BURST", 4)}
	f.Configure(1, []Tenant{tenant}, retentionS)
	for range 4 {
		if err := f.AddRunner("desk").Start(); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(5 * time.Second); err != nil {
		return false, err
	}
	part := id.HashSlot(tenant.Name, 12)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.Nodes {
		for i := range 4 {
			clients.Go(func() {
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					default:
					}
					answer := Attempt{Method: "GET", Path: fmt.Sprintf("/look/%d-%d", i, number), Key: tenant.Key, Deadline: 2 * time.Second}.Send(n.Front)
					f.Log("%s sent to %s: %d %v", answer.ID, n.Name, answer.Status, answer.Err)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	frozen, running := time.Duration(envFloat("FROZEN", 400))*time.Millisecond, time.Duration(envFloat("RUNNING", 400))*time.Millisecond
	mode := os.Getenv("MODE")
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		owner := f.Owner(part)
		if !isTroubled() || owner == nil {
			time.Sleep(100 * time.Millisecond)

			continue
		}
		if mode == "kill" {
			f.Log("%s is killed", owner.Name)
			owner.Kill()
			go func() {
				time.Sleep(3 * time.Second)
				owner.Start() //nolint:errcheck // the record shows it
			}()
			time.Sleep(time.Duration(envFloat("GAP", 1200)) * time.Millisecond)

			continue
		}
		f.Log("%s freezes", owner.Name)
		owner.signal(syscall.SIGSTOP)
		time.Sleep(frozen)
		owner.signal(syscall.SIGCONT)
		time.Sleep(running)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	var times []time.Time
	for _, run := range f.AllRuns() {
		times = append(times, run.At)
	}
	most, at := largestWindow(times, quotaWindow)
	limit := (tenant.Rate*quotaWindow.Seconds()+tenant.Burst)*(1+quotaOvershoot) + quotaSlack
	f.Say("%d requests of the tenant ran, at most %d in %v, from %.3f s on; the limit is %.1f", len(times), most, quotaWindow, at.Sub(f.began).Seconds(), limit)

	return float64(most) <= limit, nil
}
