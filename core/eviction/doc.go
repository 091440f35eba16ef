// Package eviction decides when hosts take a silent owner of slots out of the group, sooner than its lease ends, so that
// its programs wait less for a new owner; an owner that was silent but alive is fenced by its successor's epoch.
package eviction
