// Package status says which host has which settings version in force.
package status
