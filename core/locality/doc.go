// Package locality remembers which upstreams have lately read which parts of prompts, and where lines of turns ran.
package locality
