package logfilter_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/logfilter"
)

// logs holds the logs of two hosts around a turn that failed because its slot had no owner.
var logs = map[string]string{
	"host-1": `time=2026-04-02T07:27:10.000Z level=info event=configuration version=37 offset=11 routes=17 workspaces=8
time=2026-04-02T07:27:16.100Z level=info event=owners generation=4 owners="[10.0.0.1:7 10.0.0.2:7 10.0.0.3:7 10.0.0.4:7]"
time=2026-04-02T07:27:17.000Z level=error event=store-lost error="platform.in-doubt: read, cause: \"silent\"" topic=followed
time=2026-04-02T07:27:17.882Z level=info event=owner-unsure request=r1 program=p1 owner=10.0.0.2:7 outcome=OUTCOME_UNSPECIFIED error="context deadline exceeded"
time=2026-04-02T07:27:17.882Z level=info event=request request=r1 status=503 outcome=owner-unsure took=700ms left=2.2s config=37 route=r-1 workspace=w program=p1 previous="" upstreams="[u-1 u-2]" tokens=0
time=2026-04-02T07:27:17.900Z level=info event=request request=r2 status=200 outcome=answered took=7ms config=37 program=p2 upstreams=[u-1]
no event at all
`,
	"host-2": `time=2026-04-02T07:27:16.900Z level=info event=slot-released slot=SLOT epoch=3 reason=fenced
time=2026-04-02T07:27:16.901Z level=info event=slot-released slot=OTHER epoch=3 reason=fenced
time=2026-04-02T07:27:16.950Z level=info event=store-regained topic=followed away=2s
time=2026-04-02T07:27:17.000Z level=info event=upstream-removed upstream=u-2 offset=9
time=2026-04-02T07:27:17.001Z level=info event=answer-broke-off fingerprint=7 process=u-1/12 convicted=false
time=2026-04-02T07:27:17.002Z level=info event=upstream-removed upstream=u-3 offset=10
time=2026-04-02T07:27:30.000Z level=info event=slot-taken slot=SLOT epoch=9
`,
}

func parseLogs(t *testing.T) []logfilter.Line {
	t.Helper()
	slot := id.HashSlot("p1", 4)
	replace := strings.NewReplacer("SLOT", strconv.Itoa(slot), "OTHER", strconv.Itoa((slot+1)%4))
	var lines []logfilter.Line
	for _, source := range []string{"host-2", "host-1"} {
		for text := range strings.Lines(replace.Replace(logs[source])) {
			if line, ok := logfilter.ParseLine(source, strings.TrimSuffix(text, "\n")); ok {
				lines = append(lines, line)
			}
		}
	}

	return lines
}

func TestSelectByRequestReturnsRelatedLinesOfAllHosts(t *testing.T) {
	var events []string
	for _, line := range logfilter.SelectByRequest(parseLogs(t), "r1") {
		events = append(events, line.Source+" "+line.Event)
	}
	require.Equal(t, []string{
		"host-1 configuration", "host-2 slot-released", "host-2 upstream-removed", "host-1 store-lost", "host-2 answer-broke-off",
		"host-1 owner-unsure", "host-1 request",
	}, events)
}

func TestSelectByRequestOfUnknownRequestIsEmpty(t *testing.T) {
	require.Empty(t, logfilter.SelectByRequest(parseLogs(t), "r9"))
}

func TestParseLine(t *testing.T) {
	line, ok := logfilter.ParseLine("host", `  36.5 host time=2026-04-02T07:27:17.000Z level=error event=store-lost error="a \"b\" c" topic=followed`)
	require.True(t, ok)
	require.Equal(t, "store-lost", line.Event)
	require.Equal(t, `a "b" c`, line.Fields["error"])
	require.Equal(t, "followed", line.Fields["topic"])
	require.True(t, strings.HasPrefix(line.Text, "time="))
	for _, text := range []string{"", "time=", "time=yesterday event=x", "event=x", "time=2026-04-02T07:27:17.000Z level=info"} {
		_, ok := logfilter.ParseLine("host", text)
		require.False(t, ok, text)
	}
}

func FuzzParseLine(f *testing.F) {
	f.Add(`time=2026-04-02T07:27:17.000Z event=a b="c`)
	f.Fuzz(func(t *testing.T, text string) {
		if line, ok := logfilter.ParseLine("host", text); ok {
			require.NotEmpty(t, line.Event)
		}
	})
}
