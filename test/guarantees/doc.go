// Package guarantees tests the system's guarantees under faults, with a fleet of hosts and stand-ins in one process.
package guarantees
