// Package routing holds one version of the operator's configuration and matches requests to its routes and workspaces.
package routing
