// Package chart interprets state charts that are written in YAML files.
package chart
