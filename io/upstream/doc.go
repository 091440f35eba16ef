// Package upstream sends requests to upstreams over connections that it keeps, and reads their answers and events.
package upstream
