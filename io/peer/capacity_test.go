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

// heartbeatStub serves heartbeats and grants only.
type heartbeatStub struct{ peerpb.Peer }

func (heartbeatStub) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}, nil
}

func (heartbeatStub) Grant(context.Context, *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return &peerpb.GrantResponse{Requests: 10}, nil
}

// deltaCount is the number of parts of an answer of typical size.
const deltaCount = 303

// turnStub streams turns with one token per part.
type turnStub struct{ peer.SlotOwner }

func (turnStub) RunTurn(
	_ context.Context, _ *peerpb.TurnRequest, onDelta func(string) error,
) (*peerpb.TurnOutcome, error) {
	for range deltaCount {
		if err := onDelta("word"); err != nil {
			return nil, err
		}
	}

	return &peerpb.TurnOutcome{Reply: &peerpb.TurnReply{Number: 1}, Owner: "host-0830"}, nil
}

// startPeer serves the stubs and returns a client whose bytes are counted.
func startPeer(b *testing.B) (*peer.Client, *bytecounter.Counter) {
	b.Helper()
	server, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20})
	require.NoError(b, err)
	peer.Register(server, turnStub{}, heartbeatStub{})
	server.Start()
	b.Cleanup(func() { require.NoError(b, server.Close(context.Background())) })
	traffic := &bytecounter.Counter{}
	client := peer.NewClient(server.Address(), traffic.HTTPClient())
	require.Eventually(b, func() bool {
		_, err := client.Peer.Heartbeat(b.Context(), &peerpb.HeartbeatRequest{})

		return err == nil
	}, serverStartTimeout, serverPollInterval)

	return client, traffic
}

// measureExchange measures one request; time and allocations are those of client and server.
func measureExchange(b *testing.B, traffic *bytecounter.Counter, call func() error) {
	b.Helper()
	sentBefore, receivedBefore := traffic.ByteCounts()
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := traffic.ByteCounts()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}

func BenchmarkHeartbeat(b *testing.B) {
	client, traffic := startPeer(b)
	req := &peerpb.HeartbeatRequest{
		Host: "host-0830", SettingsVersion: uint64(id.NewPosition(1_000_000, 0)), ControlNext: 1_000_000,
		Running: 107, FailureDomain: "domain-16",
	}
	measureExchange(b, traffic, func() error {
		_, err := client.Peer.Heartbeat(b.Context(), req)

		return err
	})
}

func BenchmarkGrant(b *testing.B) {
	client, traffic := startPeer(b)
	req := &peerpb.GrantRequest{Host: "host-0830", Workspace: "workspace-8500", Requests: 10}
	measureExchange(b, traffic, func() error {
		_, err := client.Peer.Grant(b.Context(), req)

		return err
	})
}

// BenchmarkStreamedTurn streams an answer of 303 parts from the owner to the host that the caller is connected to.
func BenchmarkStreamedTurn(b *testing.B) {
	client, traffic := startPeer(b)
	req := &peerpb.TurnRequest{
		Caller: &peerpb.Caller{Workspace: "workspace-8500"}, Program: "p-0123456789abcdef0123",
		Model: "manual-7b", Messages: []*peerpb.Message{{Role: "user", Content: strings.Repeat("text", deltaCount)}},
	}
	measureExchange(b, traffic, func() error {
		_, err := client.RunTurn(b.Context(), req, func(string) error { return nil })

		return err
	})
}

const (
	// serverStartTimeout bounds the start of the server under test.
	serverStartTimeout = 5 * time.Second
	serverPollInterval = 5 * time.Millisecond
)
