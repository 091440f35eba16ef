// Package owner does the work of a slot's owner: programs, their turns and budgets, and calls that must not be repeated.
package owner
