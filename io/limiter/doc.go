// Package limiter speaks to the owners of workspaces' rate buckets: it asks for grants as a host and gives them as an owner.
package limiter
