package engine

import (
	"expvar"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// histogram counts durations in buckets that double, under expvar.
type histogram struct {
	counts *expvar.Map
}

const (
	// firstBucket is the upper bound of the first bucket.
	firstBucket = time.Millisecond
	// maxBuckets bounds the buckets; the last one takes all that is longer.
	maxBuckets = 20
)

var (
	// firstToken counts the times from the request to its first token.
	firstToken = histogram{expvar.NewMap("engine-time-to-first-token")}
	// betweenTokens counts the times between two tokens of a stream.
	betweenTokens = histogram{expvar.NewMap("engine-time-between-tokens")}
	// streamFailures counts streams that failed, by kind.
	streamFailures = expvar.NewMap("engine-stream-failures")
)

// bucketNames are the keys of the buckets, such as le-8ms.
var bucketNames = func() [maxBuckets]string {
	var names [maxBuckets]string
	for i := range names {
		names[i] = "le-" + strconv.FormatInt((firstBucket<<i).Milliseconds(), 10) + "ms"
	}

	return names
}()

func (h histogram) observe(d time.Duration) {
	i := 0
	for i < maxBuckets-1 && d > firstBucket<<i {
		i++
	}
	h.counts.Add(bucketNames[i], 1)
	h.counts.Add("count", 1)
	h.counts.AddFloat("sum-ms", float64(d)/float64(time.Millisecond))
}

// CountFailure counts a failed stream under the kind of its error.
func CountFailure(err error) {
	if typed := errorx.Cast(err); typed != nil {
		streamFailures.Add(typed.Type().FullName(), 1)
	}
}
