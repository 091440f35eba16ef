package platformclient

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"cardamomward/core/id"
	"cardamomward/io/httpx"
)

// LogEntry is one append as the log returns it.
type LogEntry struct {
	Offset id.Offset `json:"offset"`
	Data   []byte    `json:"data"`
}

// LogPage is a run of entries; First is the oldest offset that the log still keeps and Next the first one not yet written.
type LogPage struct {
	FirstOffset id.Offset  `json:"first"`
	NextOffset  id.Offset  `json:"next"`
	Entries     []LogEntry `json:"entries"`
	// Age is how old the page's knowledge is where it did not come from the log itself.
	Age time.Duration `json:"-"`
}

// AppendResponse carries the offset of an append.
type AppendResponse struct {
	Offset id.Offset `json:"offset"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry; an error other than a refusal leaves its effect unknown.
	Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error)
	// Read returns entries from an offset on and waits up to wait for the first of them.
	Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error)
}

// LogClient reaches the log over HTTP.
type LogClient struct {
	// Address is the log's IP number and port.
	Address string
	// Client sends the requests; nil stands for a default client.
	Client *http.Client
}

var _ Log = (*LogClient)(nil)

// Append adds one entry to a stream.
func (l *LogClient) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	var resp AppendResponse
	url := fmt.Sprintf("http://%s/v1/streams/%s", l.Address, stream)
	err := httpx.DoRaw(ctx, l.client(), http.MethodPost, url, bytes.NewReader(data), &resp)
	countAppend(stream, data)

	return resp.Offset, err
}

// Read returns entries of a stream from an offset on.
func (l *LogClient) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error) {
	var page LogPage
	url := fmt.Sprintf("http://%s/v1/streams/%s?from=%d&wait-ms=%d", l.Address, stream, from, wait.Milliseconds())
	err := httpx.Do(ctx, l.client(), http.MethodGet, url, nil, &page)
	countRead(stream, page)

	return page, err
}

func (l *LogClient) client() *http.Client {
	if l.Client == nil {
		return http.DefaultClient
	}

	return l.Client
}
