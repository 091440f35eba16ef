// Package fairshare divides a capacity between workspaces by weighted max-min fairness.
package fairshare
