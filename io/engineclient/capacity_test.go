package engineclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/engineclient"
	standin "cardamomward/standin/engine"
	"cardamomward/test/bytecounter"
)

const (
	// serverStartTimeout bounds the start of the server under test.
	serverStartTimeout = 5 * time.Second
	serverPollInterval = 5 * time.Millisecond
)

// BenchmarkPoll fetches the load report and the cache events of one idle engine, as each host does twice a second.
func BenchmarkPoll(b *testing.B) {
	server, err := standin.New(standin.Config{Address: "127.0.0.1:0", Model: "manual-7b"})
	require.NoError(b, err)
	server.Start()
	defer func() { require.NoError(b, server.Close(context.Background())) }()
	var bytes bytecounter.Counter
	client := engineclient.Client{Address: server.Address(), ConnPool: &engineclient.ConnPool{NewClient: bytes.HTTPClient}}
	require.Eventually(b, func() bool {
		_, err := client.FetchLoad(b.Context())

		return err == nil
	}, serverStartTimeout, serverPollInterval)
	sentBefore, receivedBefore := bytes.ByteCounts()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.FetchLoad(b.Context()); err != nil {
			b.Fatal(err)
		}
		if _, err := client.FetchCacheEvents(b.Context(), 0); err != nil {
			b.Fatal(err)
		}
	}
	sent, received := bytes.ByteCounts()
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(received-receivedBefore)/float64(b.N), "bytes-received/op")
}
