// Package serviceclient is the HTTP client of plain services, which are upstreams other than model engines.
package serviceclient
