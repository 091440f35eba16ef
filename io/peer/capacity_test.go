package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
	"cardamomward/test/meter"
)

// heartbeats answers heartbeats only.
type heartbeats struct{ peerpb.Peer }

func (heartbeats) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}, nil
}

// BenchmarkHeartbeat exchanges one heartbeat; time and allocations are those of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	web, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBody: 1 << 20})
	require.NoError(b, err)
	peer.Register(web, nil, heartbeats{})
	web.Start()
	defer func() { require.NoError(b, web.Close(context.Background())) }()
	var bytes meter.Meter
	remote := peer.NewRemote(web.Address(), bytes.Client())
	req := &peerpb.HeartbeatRequest{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}
	require.Eventually(b, func() bool {
		_, err := remote.Peer.Heartbeat(b.Context(), req)

		return err == nil
	}, waitForServer, pollForServer)
	sentBefore, receivedBefore := bytes.Bytes()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := remote.Peer.Heartbeat(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := bytes.Bytes()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}

const (
	// waitForServer bounds the start of the server under test.
	waitForServer = 5 * time.Second
	pollForServer = 5 * time.Millisecond
)
