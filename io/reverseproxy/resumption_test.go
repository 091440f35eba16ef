package reverseproxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/core/upstreamlimit"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform/standin"
)

// sendParts are the parts of a host on which sending a request depends.
type sendParts struct {
	Discovery
	LoadTracker
	UpstreamLimiter
}

func (sendParts) IsEvacuated(id.FailureDomain) bool           { return false }
func (sendParts) AddRunningRequests(id.Upstream, int)         {}
func (sendParts) RecordUpstreamLimit(upstreamlimit.Statement) {}

func TestResumptionIsNotSentAfterHostWasFrozen(t *testing.T) {
	upstream := standin.NewUpstream("engine-0", "engines", 0)
	t.Cleanup(upstream.Close)
	for name, tt := range map[string]struct {
		frozen time.Duration
		want   int
	}{"running": {0, 1}, "frozen": {2 * time.Second, 0}} {
		before := len(upstream.ExecutedRequests())
		now := time.Now()
		p := &Proxy{Discovery: sendParts{}, Loads: sendParts{}, Limits: sendParts{}, UpstreamClient: &upstreamclient.Client{}, Logger: logr.Discard(), Now: func() time.Time { return now }}
		req := &proxiedRequest{
			Request: &inbound.Request{ID: "request-" + name, Method: "GET", Target: "/draft/", Host: "agents.example"}, route: &routing.Route{}, service: &routing.Service{},
			deadline: now.Add(time.Minute), origin: &streamorigin.Origin{Version: "v1"}, resumption: resumption{verifiedAt: now.Add(-tt.frozen)},
		}
		_, outcome := p.sendOnce(t.Context(), req, &registry.Instance{ID: "engine-0", Address: upstream.Address()})
		require.Len(t, upstream.ExecutedRequests(), before+tt.want, name)
		if tt.want == 0 {
			require.Equal(t, retrypolicy.NotSent, outcome, "the next candidate may be tried")
		}
	}
}

// reportingUpstreams are upstreams of which the first one that is asked for its report is another process than the registered one, or does
// not show which. The registrations were read last at readAt.
type reportingUpstreams struct {
	*fakeUpstreams

	readAt      time.Time
	firstReport streamorigin.Report
	asked       []string
}

// HasReadSince implements Discovery.
func (u *reportingUpstreams) HasReadSince(at time.Time) bool { return !at.After(u.readAt) }

// HasSoleVersion implements Discovery.
func (u *reportingUpstreams) HasSoleVersion(id.Service, id.SoftwareVersion, time.Duration) bool {
	return false
}

// IsReading implements Discovery.
func (u *reportingUpstreams) IsReading() bool { return false }

// Read implements ReportReader.
func (u *reportingUpstreams) Read(_ context.Context, address string, _ time.Duration) streamorigin.Report {
	u.asked = append(u.asked, address)
	report := streamorigin.Report{Kind: streamorigin.ReportReceived, Incarnation: 1}
	if len(u.asked) == 1 {
		report = u.firstReport
	}
	report.RequestedAt = time.Now()

	return report
}

// Guards against streams that the host itself resumes inside one response at an upstream that has restarted since its registration was
// read, perhaps with another software version.
func TestStreamResumedWithinResponseIsNotSentToUpstreamThatMayHaveRestarted(t *testing.T) {
	for name, firstReport := range map[string]streamorigin.Report{
		"restarted":                      {Kind: streamorigin.ReportReceived, Incarnation: 2},
		"no response":                    {},
		"no reports, and other versions": {Kind: streamorigin.ReportUnsupported},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := &routing.Route{
					Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: 3, Public: true,
					Services: []routing.WeightedService{{Service: propertyService, Weight: 1}},
				}
				script := []*scriptedAttempt{{event: bodyCut, eventsBeforeCut: 2}}
				for len(script) < propertyUpstreams {
					script = append(script, &scriptedAttempt{event: answered})
				}
				upstreams := &reportingUpstreams{fakeUpstreams: newFakeUpstreams(route, script), readAt: time.Now(), firstReport: firstReport}
				// The stream breaks after the registrations have been read.
				upstreams.dialDuration = 10 * time.Millisecond
				response := upstreams.callWith(t, upstreams, upstreams)
				require.Len(t, upstreams.asked, 2, "each candidate is asked for its report")
				require.Nil(t, upstreams.attemptAt(upstreams.asked[0]), "the request is not sent to a process of unknown version")
				require.NotNil(t, upstreams.attemptAt(upstreams.asked[1]), "the stream goes on at the registered process")
				require.True(t, response.isComplete)
				require.Equal(t, streamText(0, streamEvents), response.body)
			})
		})
	}
}

// serviceRegistrations are the registrations of a service whose upstreams have no reports.
type serviceRegistrations struct {
	Discovery

	isRead, isSole bool
}

func (r serviceRegistrations) ConfirmOrigin(streamorigin.Origin, time.Time) bool { return r.isRead }
func (r serviceRegistrations) HasReadSince(time.Time) bool                       { return r.isRead }
func (r serviceRegistrations) GetUpstream(upstream id.Upstream) (*registry.Instance, bool) {
	return &registry.Instance{ID: upstream}, upstream == "engine-0"
}

func (r serviceRegistrations) HasSoleVersion(id.Service, id.SoftwareVersion, time.Duration) bool {
	return r.isSole
}

func (serviceRegistrations) Read(context.Context, string, time.Duration) streamorigin.Report {
	return streamorigin.Report{Kind: streamorigin.ReportUnsupported}
}

// Guards against a stream whose caller names no attempt and that goes on at the only version of which the host has read, though
// upstreams of another one have registered since.
func TestStreamWithoutAttemptGoesOnOnlyIfItsServiceHasOneVersionAfterARead(t *testing.T) {
	for name, test := range map[string]struct {
		registrations serviceRegistrations
		want          streamorigin.Decision
	}{
		"not read since":      {serviceRegistrations{isSole: true}, streamorigin.TryNext},
		"read, one version":   {serviceRegistrations{isSole: true, isRead: true}, streamorigin.Continue},
		"read, two versions":  {serviceRegistrations{isRead: true}, streamorigin.Refuse},
		"not read, two known": {serviceRegistrations{}, streamorigin.TryNext},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Proxy{Discovery: test.registrations, Reports: test.registrations, Logger: logr.Discard(), Now: time.Now}
			req := &proxiedRequest{
				Request: &inbound.Request{ID: "request"}, route: &routing.Route{}, service: &routing.Service{},
				deadline: time.Now().Add(time.Second), origin: &streamorigin.Origin{Service: "engines", Version: "v1", StartedAt: time.Now()},
			}
			require.Equal(t, test.want, p.gatherEvidence(t.Context(), req, &registry.Instance{ID: "engine-0"}).Decide())
		})
	}
}
