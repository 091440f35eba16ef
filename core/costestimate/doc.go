// Package costestimate learns how much work requests cause, by route, workspace and position in their program, and estimates it
// for new ones.
package costestimate
