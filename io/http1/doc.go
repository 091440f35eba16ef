// Package http1 reads HTTP/1.1 responses from connections and rejects those that two readers could read in two ways.
package http1
