package engineclient

import (
	"expvar"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// histogram counts durations in buckets with doubling upper bounds and publishes them with expvar.
type histogram struct {
	counts *expvar.Map
}

const (
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = time.Millisecond
	// bucketCount is the number of buckets; the last one counts all longer durations.
	bucketCount = 20
)

var (
	// timeToFirstToken counts the durations from sending a request to its first token.
	timeToFirstToken = histogram{expvar.NewMap("engine-time-to-first-token")}
	// timeBetweenTokens counts the durations between two tokens of a stream.
	timeBetweenTokens = histogram{expvar.NewMap("engine-time-between-tokens")}
	// streamFailures counts failed streams by error type.
	streamFailures = expvar.NewMap("engine-stream-failures")
)

// bucketNames are the keys of the buckets, such as le-8ms.
var bucketNames = func() [bucketCount]string {
	var names [bucketCount]string
	for i := range names {
		names[i] = "le-" + strconv.FormatInt((firstBucketBound<<i).Milliseconds(), 10) + "ms"
	}

	return names
}()

func (h histogram) observe(d time.Duration) {
	i := 0
	for i < bucketCount-1 && d > firstBucketBound<<i {
		i++
	}
	h.counts.Add(bucketNames[i], 1)
	h.counts.Add("count", 1)
	h.counts.AddFloat("sum-ms", float64(d)/float64(time.Millisecond))
}

// CountStreamFailure counts a failed stream under the type of its error; errors without a type are not counted.
func CountStreamFailure(err error) {
	if typed := errorx.Cast(err); typed != nil {
		streamFailures.Add(typed.Type().FullName(), 1)
	}
}
