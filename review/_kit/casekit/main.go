// Command casekit plays the cases of the review that are scripts.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cardamomward/review/_kit/harness"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, record *harness.Record) (bool, error){
	"lost":    playLost,
	"spent":   playSpent,
	"relay":   playRelay,
	"poison":  playPoison,
	"holders": playHolders,
	"lines":   playLines,
	"resumed": playResumed,
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE FOLDER")

		return harness.CannotRun
	}
	record, err := harness.NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return harness.CannotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	record.Say("case %s, disruption: %v", os.Args[1], harness.IsTroubled())
	isBroken, err := cases[os.Args[1]](ctx, record)
	switch {
	case err != nil:
		record.Say("could not run: %v", err)

		return harness.CannotRun
	case isBroken:
		record.Say("the rule was broken")

		return harness.Broken
	}
	record.Say("the rule held")

	return harness.Held
}
