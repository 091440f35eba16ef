// Package fleet starts stand-ins and hosts in one process, for the demo and for tests.
package fleet
