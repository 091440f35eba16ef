// Package logline writes one key=value line for each event, as a sink for logr.
package logline
