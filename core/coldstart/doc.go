// Package coldstart keeps until when upstreams are cold: their caches are empty after a start, and they take few requests. It
// also decides how fast requests may be sent to them.
package coldstart
