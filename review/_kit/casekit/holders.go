package main

import (
	"context"
	"time"

	"cardamomward/review/_kit/harness"
)

const (
	// longOutage is how long the store is down; in the site's standard days it is down for 6.4 s and 7 s.
	longOutage = 6400 * time.Millisecond
	// maxRounds bounds how often the deployment is started anew, since the order of events at its start differs.
	maxRounds = 6
	// holderHosts is the number of the site's machines.
	holderHosts = 10
)

// playHolders starts a deployment, lets the store be down for a while before programs begin, and lets programs run turns through two
// hosts. It does so again with a new deployment until the rule is broken, maxRounds times at most.
func playHolders(ctx context.Context, record *harness.Record) (bool, error) {
	for round := range maxRounds {
		record.Say("round %d", round+1)
		isBroken, err := playHoldersOnce(ctx, record)
		if isBroken || err != nil {
			return isBroken, err
		}
	}

	return false, nil
}

func playHoldersOnce(ctx context.Context, record *harness.Record) (bool, error) {
	fleet, upstreams, err := newDeployment(record, holderHosts)
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
	programs := newPrograms(programCount)
	downAt := time.Now()
	if harness.IsTroubled() {
		fleet.SetStoreDown(true)
	}
	harness.Sleep(ctx, 900*time.Millisecond)
	for number, host := range []*harness.Host{fleet.Hosts[0], fleet.Hosts[2]} {
		forEach(programs, func(p *program) {
			// A turn that is refused with 503 comes again while the store is down.
			until := downAt.Add(2600*time.Millisecond + time.Duration(number)*3400*time.Millisecond)
			for whole := 0; whole < 3 && time.Now().Before(until); {
				if _, _, isWhole := p.turn(ctx, record, host, "/draft/1", ""); isWhole {
					whole++
				} else {
					harness.Sleep(ctx, 100*time.Millisecond)
				}
			}
		})
	}
	if harness.IsTroubled() {
		harness.Sleep(ctx, time.Until(downAt.Add(longOutage)))
		fleet.SetStoreDown(false)
	}
	harness.Sleep(ctx, harness.StableWindow)
	spendAll(ctx, record, fleet, programs)

	return judgeBudgets(record, programs), nil
}
