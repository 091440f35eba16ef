// Package fleet runs hosts and stand-ins in one process, for the demo, local development and tests.
package fleet
