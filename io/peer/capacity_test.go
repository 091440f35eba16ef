package peer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
	"cardamomward/test/bytecounter"
)

// heartbeats answers heartbeats only.
type heartbeats struct{ peerpb.Peer }

func (heartbeats) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}, nil
}

func (heartbeats) Grant(context.Context, *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return &peerpb.GrantResponse{Requests: 10}, nil
}

// tokens is how many pieces an answer of typical size has.
const tokens = 303

// answers streams turns of one token a piece.
type answers struct{ peer.Owner }

func (answers) Turn(
	_ context.Context, _ *peerpb.TurnRequest, visit func(string) error,
) (*peerpb.TurnOutcome, error) {
	for range tokens {
		if err := visit("word"); err != nil {
			return nil, err
		}
	}

	return &peerpb.TurnOutcome{Reply: &peerpb.TurnReply{Number: 1}, Owner: "host-0830"}, nil
}

// startPeer serves the stubs and returns a client whose bytes are counted.
func startPeer(b *testing.B) (*peer.Remote, *bytecounter.Counter) {
	b.Helper()
	web, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20})
	require.NoError(b, err)
	peer.Register(web, answers{}, heartbeats{})
	web.Start()
	b.Cleanup(func() { require.NoError(b, web.Close(context.Background())) })
	bytes := &bytecounter.Counter{}
	remote := peer.NewRemote(web.Address(), bytes.HTTPClient())
	require.Eventually(b, func() bool {
		_, err := remote.Peer.Heartbeat(b.Context(), &peerpb.HeartbeatRequest{})

		return err == nil
	}, waitForServer, pollForServer)

	return remote, bytes
}

// exchange measures one exchange; time and allocations are those of both ends.
func exchange(b *testing.B, bytes *bytecounter.Counter, once func() error) {
	b.Helper()
	sentBefore, receivedBefore := bytes.ByteCounts()
	b.ReportAllocs()
	for b.Loop() {
		if err := once(); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := bytes.ByteCounts()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}

func BenchmarkHeartbeat(b *testing.B) {
	remote, bytes := startPeer(b)
	req := &peerpb.HeartbeatRequest{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}
	exchange(b, bytes, func() error {
		_, err := remote.Peer.Heartbeat(b.Context(), req)

		return err
	})
}

func BenchmarkGrant(b *testing.B) {
	remote, bytes := startPeer(b)
	req := &peerpb.GrantRequest{Host: "host-0830", Workspace: "workspace-8500", Requests: 10}
	exchange(b, bytes, func() error {
		_, err := remote.Peer.Grant(b.Context(), req)

		return err
	})
}

// BenchmarkStreamedTurn passes an answer of 303 pieces from the owner to the entry host.
func BenchmarkStreamedTurn(b *testing.B) {
	remote, bytes := startPeer(b)
	req := &peerpb.TurnRequest{
		Caller: &peerpb.Caller{Workspace: "workspace-8500"}, Program: "p-0123456789abcdef0123",
		Model: "manual-7b", Messages: []*peerpb.Message{{Role: "user", Content: strings.Repeat("text", tokens)}},
	}
	exchange(b, bytes, func() error {
		_, err := remote.Turn(b.Context(), req, func(string) error { return nil })

		return err
	})
}

const (
	// waitForServer bounds the start of the server under test.
	waitForServer = 5 * time.Second
	pollForServer = 5 * time.Millisecond
)
