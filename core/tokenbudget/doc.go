// Package tokenbudget accounts for the tokens that programs generate against their budgets, across the failure of the
// owner that keeps the accounts.
//
// A turn reserves the most tokens that it may generate before it runs, and settles the tokens that it did generate. The
// tokens that are not yet covered by a durable watermark never exceed the maximum of one turn, so the failure of all
// hosts overspends a budget by one turn at most. While the platform's store is unavailable they may exceed a quarter of the
// budget by one turn, and that quarter is charged to each program after a failure of all hosts. After the failure of the
// owner alone, the other hosts report the watermarks that they have received to the new owner.
package tokenbudget
