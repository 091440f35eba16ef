// Package quarantine keeps which requests crash the upstreams that run them, so that those are stopped and no others.
package quarantine
