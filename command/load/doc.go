// Package load runs programs against a fleet at seeded times, whatever the fleet answers, and reports program
// latency, wasted cache, the worst-served workspace, and what was refused within rate.
package load
