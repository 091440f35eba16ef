package peer

import "expvar"

// Counters of the messages between this host and the others.
const (
	metricHeartbeatsSent       = "heartbeats-sent"
	metricHeartbeatsUnanswered = "heartbeats-unanswered"
	metricHeartbeatsReceived   = "heartbeats-received"
	metricTurnsSent            = "turns-sent"
	metricTurnsReceived        = "turns-received"
)

var trafficCounters = expvar.NewMap("peer-traffic")
