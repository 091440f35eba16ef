package platformclient

import (
	"expvar"

	"cardamomward/core/id"
)

// Counters of a host's traffic with the log; bytes are those of the payload, without HTTP headers and base64.
const (
	metricReads       = "reads"
	metricReadEntries = "read-entries"
	metricReadBytes   = "read-bytes"
	metricAppends     = "appends"
	metricAppendBytes = "append-bytes"
)

// logTraffic holds the counters under keys of the form stream-counter.
var logTraffic = expvar.NewMap("log-traffic")

func addCounter(stream id.Stream, counter string, delta int) {
	logTraffic.Add(string(stream)+"-"+counter, int64(delta))
}

func countRead(stream id.Stream, page LogPage) {
	size := 0
	for _, entry := range page.Entries {
		size += len(entry.Data)
	}
	addCounter(stream, metricReads, 1)
	addCounter(stream, metricReadEntries, len(page.Entries))
	addCounter(stream, metricReadBytes, size)
}

func countAppend(stream id.Stream, data []byte) {
	addCounter(stream, metricAppends, 1)
	addCounter(stream, metricAppendBytes, len(data))
}
