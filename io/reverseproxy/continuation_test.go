package reverseproxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/io/upstreamclient"
)

// Guards against a gap between the events of two attempts, and against gaps that are seen where ids are no consecutive numbers.
func TestNextEventOfContinuationLeavesNoGap(t *testing.T) {
	for name, tt := range map[string]struct {
		resumedAfter string
		received     []string
		next         string
		want         bool
	}{
		"next number":         {"", []string{"1", "2"}, "3", true},
		"gap":                 {"", []string{"1", "2"}, "4", false},
		"received event":      {"", []string{"1", "2"}, "1", true},
		"gap after one event": {"", []string{"1"}, "24", true},
		"gap in a stream resumed after one event": {"1", []string{"2"}, "4", false},
		"next number of a resumed stream":         {"7", []string{"8", "9"}, "10", true},
		"gap in a resumed stream":                 {"7", []string{"8", "9"}, "11", false},
		"steps":                                   {"", []string{"10", "20"}, "30", true},
		"steps that begin with one":               {"", []string{"1", "24"}, "47", true},
		"gap in a stream that begins elsewhere":   {"", []string{"5", "6"}, "9", false},
		"ids that are no numbers":                 {"", []string{"a", "b"}, "d", true},
		"a number after ids that are no numbers":  {"", []string{"a"}, "2", true},
		"an id after numbers":                     {"", []string{"1", "2"}, "c", false},
		"a stream resumed after another id":       {"x", []string{"1", "2"}, "4", true},
	} {
		t.Run(name, func(t *testing.T) {
			var numbers eventNumbers
			if tt.resumedAfter != "" {
				numbers.record(tt.resumedAfter)
			}
			for _, id := range tt.received {
				numbers.record(id)
			}
			attempt := continuation{isResumed: true, lastEventID: tt.received[len(tt.received)-1], numbers: numbers}
			require.Equal(t, tt.want, attempt.mayFollow(upstreamclient.Event{ID: tt.next, Data: []byte("x")}))
		})
	}
}
