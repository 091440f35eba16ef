package replay_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"cardamomward/core/replay"
)

var (
	table = flag.Bool("table", false, "run all scenarios under all policies and print the tables")
	seed  = flag.Uint64("seed", 7, "seed of the scenarios")
)

// runAll runs scenarios under policies, a few at a time.
func runAll(scenarios []replay.Scenario, policies []replay.Policy) []map[replay.Policy]*replay.Result {
	const atATime = 4
	all := make([]map[replay.Policy]*replay.Result, len(scenarios))
	limit := make(chan struct{}, atATime)
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, s := range scenarios {
		all[i] = make(map[replay.Policy]*replay.Result)
		for _, policy := range policies {
			group.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				result := replay.Run(s.Config, policy, s.Programs())
				mu.Lock()
				defer mu.Unlock()
				all[i][policy] = result
			})
		}
	}
	group.Wait()

	return all
}

func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints the tables of docs/MEASURES.md with -table")
	}
	scenarios := replay.Scenarios(*seed)
	for i, results := range runAll(scenarios, replay.Policies()) {
		fmt.Printf("### %s\n\n%s", scenarios[i].Title(), replay.TableHeader)
		for _, policy := range replay.Policies() {
			fmt.Print(results[policy].Row(scenarios[i]))
		}
		fmt.Println()
	}
}
