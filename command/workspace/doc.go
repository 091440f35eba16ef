// Package workspace contains the command that lists the workspaces of the published settings.
package workspace
