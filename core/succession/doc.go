// Package succession decides who acts for an owner of a slot that is gone while the platform's store is away for all
// hosts, so that nobody can own the slot: all hosts compute the same deputy from the owners that they know.
package succession
