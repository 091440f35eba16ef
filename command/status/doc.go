// Package status contains the command that shows the state and the settings version of each host.
package status
