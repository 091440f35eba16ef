// Package statechart loads and executes state charts that are written in YAML files.
package statechart
