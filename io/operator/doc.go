// Package operator serves the operators over HTTP and is their client: settings, keys, programs, hosts and state dumps.
package operator
