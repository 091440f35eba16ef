// Package route holds one version of the operator's configuration and matches requests with it.
package route
