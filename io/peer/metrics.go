package peer

import "expvar"

// Counters of a host's traffic with the other hosts.
const (
	metricHeartbeatsSent     = "heartbeats-sent"
	metricHeartbeatsUnheard  = "heartbeats-unanswered"
	metricHeartbeatsReceived = "heartbeats-received"
	metricTurnsSent          = "turns-sent"
	metricTurnsReceived      = "turns-received"
)

var traffic = expvar.NewMap("peer-traffic")
