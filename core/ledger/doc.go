// Package ledger counts the tokens of programs against their budgets, over the loss of the host that counts.
//
// An account reserves the most that each turn may generate before the turn runs, and settles what it did generate.
// What is not yet durable never exceeds the most of one turn, so a successor that starts from the durable marks
// overspends a budget by one turn at most.
package ledger
