// Package replay runs programs through the decisions in virtual time, with a simple model of engines, beside
// policies to compare with; a seed repeats a run exactly.
package replay
