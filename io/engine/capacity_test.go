package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/engine"
	standin "cardamomward/standin/engine"
	"cardamomward/test/meter"
)

const (
	// waitForServer bounds the start of the server under test.
	waitForServer = 5 * time.Second
	pollForServer = 5 * time.Millisecond
)

// BenchmarkPoll asks one idle engine for its load and its cache events, as each host does twice a second.
func BenchmarkPoll(b *testing.B) {
	server, err := standin.New(standin.Config{Address: "127.0.0.1:0", Model: "manual-7b"})
	require.NoError(b, err)
	server.Start()
	defer func() { require.NoError(b, server.Close(context.Background())) }()
	var bytes meter.Meter
	client := engine.Client{Address: server.Address(), Conns: &engine.Conns{New: bytes.Client}}
	require.Eventually(b, func() bool {
		_, err := client.Load(b.Context())

		return err == nil
	}, waitForServer, pollForServer)
	sentBefore, receivedBefore := bytes.Bytes()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
		if _, err := client.Events(b.Context(), 0); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := bytes.Bytes()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}
