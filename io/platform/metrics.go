package platform

import (
	"expvar"

	"cardamomward/core/id"
)

// Counters of a host's traffic with the log, without HTTP's own bytes and base64.
const (
	metricReads       = "reads"
	metricReadEntries = "read-entries"
	metricReadBytes   = "read-bytes"
	metricAppends     = "appends"
	metricAppendBytes = "append-bytes"
)

// logTraffic holds the counters, each under its stream and name.
var logTraffic = expvar.NewMap("log-traffic")

func count(stream id.Stream, counter string, delta int) {
	logTraffic.Add(string(stream)+"-"+counter, int64(delta))
}

func countRead(stream id.Stream, page Page) {
	size := 0
	for _, entry := range page.Entries {
		size += len(entry.Data)
	}
	count(stream, metricReads, 1)
	count(stream, metricReadEntries, len(page.Entries))
	count(stream, metricReadBytes, size)
}

func countAppend(stream id.Stream, data []byte) {
	count(stream, metricAppends, 1)
	count(stream, metricAppendBytes, len(data))
}
