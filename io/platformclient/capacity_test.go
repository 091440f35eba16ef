package platformclient_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/platformclient"
	"cardamomward/standin/hostlist"
	"cardamomward/standin/logserver"
	"cardamomward/test/bytecounter"
)

const (
	// serverStartTimeout bounds the start of the server under test.
	serverStartTimeout = 5 * time.Second
	serverPollInterval = 5 * time.Millisecond
)

func startLogServer(b *testing.B) (*platformclient.LogClient, *bytecounter.Counter) {
	b.Helper()
	server, err := logserver.New("127.0.0.1:0")
	require.NoError(b, err)
	server.Start()
	b.Cleanup(func() { require.NoError(b, server.Close(context.Background())) })
	traffic := &bytecounter.Counter{}
	client := &platformclient.LogClient{Address: server.Address(), Client: traffic.HTTPClient()}
	require.Eventually(b, func() bool {
		_, err := client.Read(b.Context(), "control", 0, 0)

		return err == nil
	}, serverStartTimeout, serverPollInterval)

	return client, traffic
}

// reportTransferredBytes reports the bytes per operation since the given counts.
func reportTransferredBytes(b *testing.B, traffic *bytecounter.Counter, sentBefore, receivedBefore int64) {
	b.Helper()
	sent, received := traffic.ByteCounts()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}

// BenchmarkEmptyRead reads a stream without new entries.
func BenchmarkEmptyRead(b *testing.B) {
	client, traffic := startLogServer(b)
	sent, received := traffic.ByteCounts()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Read(b.Context(), "control", 0, 0); err != nil {
			b.Fatal(err)
		}
	}
	reportTransferredBytes(b, traffic, sent, received)
}

// BenchmarkAppendAndRead appends one entry and reads it back.
func BenchmarkAppendAndRead(b *testing.B) {
	for _, size := range []int{100, 2563, 23_500, 570_657} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			client, traffic := startLogServer(b)
			data := make([]byte, size)
			sent, received := traffic.ByteCounts()
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				offset, err := client.Append(b.Context(), "programs", data)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := client.Read(b.Context(), "programs", offset, 0); err != nil {
					b.Fatal(err)
				}
			}
			reportTransferredBytes(b, traffic, sent, received)
		})
	}
}

// BenchmarkHostList reads the platform's list of hosts, as each host does once a second.
func BenchmarkHostList(b *testing.B) {
	for _, hosts := range []int{12, 100, 830} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			server, err := hostlist.New("127.0.0.1:0", 0)
			require.NoError(b, err)
			server.Start()
			b.Cleanup(func() { require.NoError(b, server.Close(context.Background())) })
			traffic := &bytecounter.Counter{}
			client := &platformclient.HostListClient{Address: server.Address(), Client: traffic.HTTPClient()}
			require.Eventually(b, func() bool {
				_, err := client.List(b.Context())

				return err == nil
			}, serverStartTimeout, serverPollInterval)
			for i := range hosts {
				entry := platformclient.HostEntry{
					Host: id.Host(fmt.Sprintf("host-%04d", i)), FailureDomain: "domain-16",
					CallerAddress: "10.0.12.34:7000", OperatorAddress: "10.0.12.34:7001", PeerAddress: "10.0.12.34:7002",
				}
				require.NoError(b, client.Announce(b.Context(), entry))
			}
			sent, received := traffic.ByteCounts()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.List(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			reportTransferredBytes(b, traffic, sent, received)
		})
	}
}
