package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cardamomward/review/_kit/harness"
)

const (
	// outage is how long the store is down; the largest dose of platform_down in the site's list of troubles is 4.5 s.
	outage = 4500 * time.Millisecond
	// outageTurnsAfter is when programs begin in the outage.
	outageTurnsAfter = 2 * time.Second
	// restartDelay is the pause before the platform starts a killed process again.
	restartDelay = 1500 * time.Millisecond
	programCount = 60
)

// playSpent kills one process while the store is down, and lets the programs that it served spend their budgets to the end.
func playSpent(ctx context.Context, record *harness.Record) (bool, error) {
	fleet, upstreams, err := newDeployment(record, 10)
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
	victim, err := busiestOwner(ctx, fleet)
	if err != nil {
		return false, err
	}
	record.Say("clients of %s", victim.Name)
	programs := newPrograms(programCount)
	if harness.IsTroubled() {
		fleet.SetStoreDown(true)
	}
	downAt := time.Now()
	harness.Sleep(ctx, outageTurnsAfter)
	forEach(programs, func(p *program) {
		// A turn that is refused with 503 comes again while the store is down.
		for whole := 0; whole < 3 && time.Since(downAt) < outage-500*time.Millisecond; {
			if _, _, isWhole := p.turn(ctx, record, victim, "/draft/1", ""); isWhole {
				whole++
			} else {
				harness.Sleep(ctx, 200*time.Millisecond)
			}
		}
	})
	if harness.IsTroubled() {
		victim.Kill()
		record.Say("%s was killed", victim.Name)
		harness.Sleep(ctx, outage-time.Since(downAt))
		fleet.SetStoreDown(false)
		harness.Sleep(ctx, restartDelay)
		if err := victim.Start(); err != nil {
			return false, err
		}
		if err := victim.AwaitReady(ctx); err != nil {
			return false, err
		}
	}
	harness.Sleep(ctx, harness.StableWindow)
	spendAll(ctx, record, fleet, programs)

	return judgeBudgets(record, programs), nil
}

func newPrograms(count int) []*program {
	programs := make([]*program, 0, count)
	for number := range count {
		programs = append(programs, &program{name: fmt.Sprintf("program-%s-%d", harness.NewRequestID()[:6], number+1)})
	}

	return programs
}

// forEach runs a function for all programs at the same time.
func forEach(programs []*program, do func(p *program)) {
	var wg sync.WaitGroup
	for _, p := range programs {
		wg.Go(func() { do(p) })
	}
	wg.Wait()
}

// spendAll lets all programs send turns through all hosts until they get a 402, for 40 s at most.
func spendAll(ctx context.Context, record *harness.Record, fleet *harness.Fleet, programs []*program) {
	ctx, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	forEach(programs, func(p *program) {
		p.spendRest(ctx, record, func(try int) *harness.Host { return fleet.Hosts[try%len(fleet.Hosts)] })
	})
}
