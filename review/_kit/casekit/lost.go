package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cardamomward/review/_kit/harness"
)

const (
	// lostHosts of fleetHosts are killed at the same moment; the site's share of herd_kill is 0.55.
	fleetHosts = 11
	lostHosts  = 5
	// turnCount is the number of turns in the outage.
	turnCount = 400
	// turnWorkers is the number of programs that run at the same time.
	turnWorkers = 12
)

// keptTurn is a turn that was answered whole.
type keptTurn struct {
	id      string
	program string
}

// playLost kills several processes at the same moment while the store is down, and continues from the turns that were answered whole
// before.
func playLost(ctx context.Context, record *harness.Record) (bool, error) {
	fleet, upstreams, err := newDeployment(record, fleetHosts)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	for _, u := range upstreams {
		fleet.OnClose(u.Close)
	}
	if err := fleet.Start(ctx); err != nil {
		return false, err
	}
	rand.Shuffle(len(fleet.Hosts), func(i, j int) { fleet.Hosts[i], fleet.Hosts[j] = fleet.Hosts[j], fleet.Hosts[i] })
	victims, others := fleet.Hosts[:lostHosts], fleet.Hosts[lostHosts:]
	downAt := time.Now()
	if harness.IsTroubled() {
		fleet.SetStoreDown(true)
	}
	harness.Sleep(ctx, time.Second)
	kept := runKeptTurns(ctx, record, victims, downAt.Add(outage-700*time.Millisecond))
	record.Say("%d turns were answered whole", len(kept))
	if harness.IsTroubled() {
		var wg sync.WaitGroup
		for _, h := range victims {
			wg.Go(h.Kill)
		}
		wg.Wait()
		record.Say("%d of %d hosts were killed", len(victims), len(fleet.Hosts))
		harness.Sleep(ctx, time.Until(downAt.Add(outage)))
		fleet.SetStoreDown(false)
		harness.Sleep(ctx, restartDelay)
		for _, h := range victims {
			if err := h.Start(); err != nil {
				return false, err
			}
		}
		for _, h := range victims {
			if err := h.AwaitReady(ctx); err != nil {
				return false, err
			}
		}
	}
	harness.Sleep(ctx, harness.StableWindow+2*time.Second)

	return continueTurns(ctx, record, others, kept), nil
}

// runKeptTurns runs turns of new programs through hosts until a time, and returns those that were answered whole.
func runKeptTurns(ctx context.Context, record *harness.Record, hosts []*harness.Host, until time.Time) []keptTurn {
	var mu sync.Mutex
	var kept []keptTurn
	var wg sync.WaitGroup
	programs := newPrograms(turnCount)
	next := make(chan *program, len(programs))
	for _, p := range programs {
		next <- p
	}
	close(next)
	for worker := range turnWorkers {
		wg.Go(func() {
			for p := range next {
				if time.Now().After(until) {
					return
				}
				_, id, isWhole := p.turn(ctx, record, hosts[(worker+rand.IntN(len(hosts)))%len(hosts)], "/chat/1", "")
				if !isWhole {
					continue
				}
				mu.Lock()
				kept = append(kept, keptTurn{id: id, program: p.name})
				mu.Unlock()
			}
		})
	}
	wg.Wait()

	return kept
}

// continueTurns continues from each turn, at most three times, and reports whether one of them was answered 404 or 410.
func continueTurns(ctx context.Context, record *harness.Record, hosts []*harness.Host, kept []keptTurn) bool {
	var mu sync.Mutex
	denied, unanswered := 0, 0
	var wg sync.WaitGroup
	next := make(chan keptTurn, len(kept))
	for _, turn := range kept {
		next <- turn
	}
	close(next)
	for range turnWorkers {
		wg.Go(func() {
			for turn := range next {
				status := 0
				for try := range 3 {
					p := &program{name: turn.program}
					status, _, _ = p.turn(ctx, record, hosts[try%len(hosts)], "/chat/1", turn.id)
					if status == http.StatusOK || status == http.StatusNotFound || status == http.StatusGone {
						break
					}
					harness.Sleep(ctx, 400*time.Millisecond)
				}
				mu.Lock()
				switch status {
				case http.StatusOK:
				case http.StatusNotFound, http.StatusGone:
					denied++
					record.Say("LOST: turn %s was answered whole, and its continuation with %d", turn.id, status)
				default:
					unanswered++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	record.Say("of %d turns that were answered whole, %d were answered 404 or 410 and %d got no runner in three tries", len(kept), denied, unanswered)

	return denied > 0
}
