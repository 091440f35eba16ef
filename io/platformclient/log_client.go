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

// LogEntry is one append with its offset.
type LogEntry struct {
	Offset id.Offset `json:"offset"`
	Data   []byte    `json:"data"`
}

// LogPage holds consecutive entries. FirstOffset is the oldest offset that the log retains and NextOffset the first
// one that is not written yet.
type LogPage struct {
	FirstOffset id.Offset  `json:"first"`
	NextOffset  id.Offset  `json:"next"`
	Entries     []LogEntry `json:"entries"`
	// Age is how old a page is that came from a peer; it is zero for a page of the log itself.
	Age time.Duration `json:"-"`
}

// AppendResponse is the log's response to an append.
type AppendResponse struct {
	Offset id.Offset `json:"offset"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry and returns its offset. After an error that is no *apierror.Error, it is unknown whether
	// the entry was added.
	Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error)
	// Read returns the entries from an offset on; if there are none, it waits for one up to the given time.
	Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error)
}

// LogClient is an HTTP client of the log.
type LogClient struct {
	// Address is the log's IP address and port.
	Address string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

var _ Log = (*LogClient)(nil)

// Append adds one entry to a stream and returns its offset.
func (l *LogClient) Append(ctx context.Context, stream id.Stream, data []byte) (id.Offset, error) {
	var resp AppendResponse
	url := fmt.Sprintf("http://%s/v1/streams/%s", l.Address, stream)
	err := httpx.SendBody(ctx, l.client(), http.MethodPost, url, bytes.NewReader(data), &resp)
	countAppend(stream, data)

	return resp.Offset, err
}

// Read returns the entries of a stream from an offset on, with a long poll of up to wait.
func (l *LogClient) Read(ctx context.Context, stream id.Stream, from id.Offset, wait time.Duration) (LogPage, error) {
	var page LogPage
	url := fmt.Sprintf("http://%s/v1/streams/%s?from=%d&wait-ms=%d", l.Address, stream, from, wait.Milliseconds())
	err := httpx.SendJSON(ctx, l.client(), http.MethodGet, url, nil, &page)
	countRead(stream, page)

	return page, err
}

func (l *LogClient) client() *http.Client {
	if l.Client == nil {
		return http.DefaultClient
	}

	return l.Client
}
