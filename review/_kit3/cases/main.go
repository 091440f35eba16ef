package main

import (
	"fmt"
	"os"
)

// A case returns whether the rule held, or an error if the case could not run.
var cases = map[string]func() (held bool, err error){
	"poison": runPoison, "poison-late": runPoisonLate, "poison-early": runPoisonEarly, "same-input": runSameInput, "charge": runCharge, "same-input-lost": runSameInputLost, "poison-busy": runPoisonBusy, "full": runFull, "quota-fresh": runQuotaFresh, "quota-roll": runQuotaRoll, "budget": runBudget, "retention": runRetention,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		os.Exit(2)
	}
	held, err := cases[os.Args[1]]()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
