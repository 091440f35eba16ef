// Package plan draws, prints, parses and reduces the plan of faults of a soak run. It has no I/O and no clock.
package plan
