package peer

import "expvar"

// Counters of a host's traffic with the other hosts.
const (
	metricHeartbeatsSent       = "heartbeats-sent"
	metricHeartbeatsUnanswered = "heartbeats-unanswered"
	metricHeartbeatsReceived   = "heartbeats-received"
	metricTurnsSent            = "turns-sent"
	metricTurnsReceived        = "turns-received"
)

var trafficCounters = expvar.NewMap("peer-traffic")
