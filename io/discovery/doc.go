// Package discovery watches the operator's configuration and the registrations of upstreams in the platform's store.
package discovery
