// Package catalog follows the operator's configuration and the upstreams' entries in the platform's store.
package catalog
