// Package settings contains the commands that check, publish and show the settings of all hosts.
package settings
