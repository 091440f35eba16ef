// Package workspace lists the workspaces of the settings in force.
package workspace
